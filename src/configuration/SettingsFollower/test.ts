import { SettingsFollower } from '.'
import type { FetchLogReply } from '../../contract/FetchLogReply'
import type { FetchLogRequest } from '../../contract/FetchLogRequest'
import type { LogSource } from '../LogSource'
import { ObserverTable } from '../ObserverTable'
import { SettingsRelay } from '../SettingsRelay'
import { SettingsTree } from '../SettingsTree'
import { SettingsView } from '../SettingsView'

const change = (id: number) => ({
  changeId: `c${id}`, subtree: '/teams/t', operations: [{ path: '/teams/t/drains/x', value: { reason: String(id) } }], operator: 'o', atMs: 0
})

function createObserver (listSources: () => LogSource[]) {
  const tree = new SettingsTree()
  const view = new SettingsView()
  const relay = new SettingsRelay(tree, { maxEntries: 3 })
  const observers = new ObserverTable({ liveMs: 1000 })
  return { tree, view, relay, follower: new SettingsFollower({ tree, view, relay, observers, listSources }) }
}

function createSource (name: string, fetch: (request: FetchLogRequest) => Promise<FetchLogReply>): LogSource {
  return { name, request: (_type, body) => fetch(body as FetchLogRequest), send: () => true }
}

async function waitFor (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

/** A source with the changes 1 to `count`: a control replica (age 0) or a relay with older data. */
function createLog (count: number, ageMs: number): LogSource {
  return createSource('log', async request => {
    if (request.offset >= count) await new Promise(resolve => setTimeout(resolve, Math.min(request.waitMs, 50)))
    const entries = Array.from({ length: Math.max(0, count - request.offset) }, (_, index) => ({ offset: request.offset + index + 1, command: change(request.offset + index + 1) }))
    return { entries, commitOffset: count, ageMs }
  })
}

const unreachable = createSource('unreachable', async () => { throw new Error('no link') })

describe('SettingsFollower', () => {
  it('fetches from the next source when one fails', async () => {
    const { tree, follower } = createObserver(() => [unreachable, createLog(2, 0)])
    follower.start()
    await waitFor(() => tree.offset === 2)
    follower.stop()
  })

  // Guards against a follower that returns to its most preferred source before it has tried the only one that replies.
  it('tries all sources, even if several of them time out', async () => {
    jest.useFakeTimers()
    const hanging = createSource('hanging', () => new Promise((_resolve, reject) => setTimeout(() => reject(new Error('time-out')), 3_000)))
    const { tree, follower } = createObserver(() => [hanging, hanging, hanging, createLog(2, 0)])
    follower.start()
    await jest.advanceTimersByTimeAsync(15_000)
    follower.stop()
    jest.useRealTimers()
    expect(tree.offset).toBe(2)
  })

  it('gets the newest settings of the zone when no control replica is reachable, so that a cold start in a partitioned zone can serve', async () => {
    const { tree, view, follower } = createObserver(() => [unreachable, createLog(2, 60_000), createLog(4, 90_000)])
    follower.start()
    await waitFor(() => tree.offset === 4)
    expect(view.offset).toBe(4)
    follower.stop()
  })

  it('switches from a relay with stale data to a reachable control replica', async () => {
    const { tree, follower } = createObserver(() => [createLog(1, 60_000), createLog(3, 0)])
    follower.start()
    await waitFor(() => tree.offset === 3)
    follower.stop()
  })

  it.each<[string, FetchLogReply]>([
    ['older entries', { entries: [{ offset: 1, command: change(1) }], commitOffset: 1, ageMs: 0 }],
    ['entries after a gap', { entries: [{ offset: 9, command: change(9) }], commitOffset: 9, ageMs: 0 }],
    ['an older snapshot', { entries: [], snapshot: { offset: 1, state: new SettingsTree().getState() }, commitOffset: 1, ageMs: 0 }]
  ])('ignores %s, so that settings never revert', async (_case, reply) => {
    let fetches = 0
    const bad = createSource('bad', async () => {
      fetches++
      await new Promise(resolve => setTimeout(resolve, 5))
      return reply
    })
    const { tree, follower } = createObserver(() => [bad])
    tree.apply(change(1), 1)
    tree.apply(change(2), 2)
    follower.start()
    await waitFor(() => fetches > 2)
    follower.stop()
    expect(tree.offset).toBe(2)
    expect(tree.get('/teams/t/drains/x')).toEqual({ reason: '2' })
  })

  it('relays entries to an observer within the retained log, and a snapshot to one that is further behind', async () => {
    const relayObserver = createObserver(() => [createLog(6, 0)])
    relayObserver.follower.start()
    await waitFor(() => relayObserver.tree.offset === 6)
    const nearReply = await relayObserver.relay.fetch({ offset: 4, waitMs: 0, maxEntries: 10 })
    expect(nearReply.entries.map(entry => entry.offset)).toEqual([5, 6])
    const laggingObserver = createObserver(() => [createSource('relay', request => relayObserver.relay.fetch({ ...request, waitMs: 20 }))])
    laggingObserver.follower.start()
    await waitFor(() => laggingObserver.tree.offset === 6)
    expect(laggingObserver.tree.get('/teams/t/drains/x')).toEqual({ reason: '6' })
    relayObserver.follower.stop()
    laggingObserver.follower.stop()
  })
})
