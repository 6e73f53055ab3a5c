import { MembershipView } from '.'
import type { PlatformInstance } from '../../contract/PlatformInstance'

const listed = (state: 'live' | 'leaving'): PlatformInstance => ({ instance: 'r1', kind: 'router', zone: 'z', state, host: '127.0.0.1', port: 1 })
const beat = (incarnation: string, startedAtMs: number, isLeaving = false) => ({ instance: 'r1', incarnation, startedAtMs, isLeaving })

type Step = (view: MembershipView) => void
const list = (state: 'live' | 'leaving', atMs: number): Step => view => view.recordList([listed(state)], atMs)
const empty = (atMs: number): Step => view => view.recordList([], atMs)
const heartbeat = (incarnation: string, startedAtMs: number, atMs: number, isLeaving = false): Step => view => view.recordHeartbeat(beat(incarnation, startedAtMs, isLeaving), atMs)

describe('MembershipView', () => {
  it.each<[string, Step[], number, string | undefined]>([
    ['a listed instance without a heartbeat is suspect', [list('live', 0)], 1, 'suspect'],
    ['a fresh heartbeat makes a listed instance live', [list('live', 0), heartbeat('a', 1, 1)], 2, 'live'],
    ['an instance with a fresh heartbeat is live although it is no longer listed', [heartbeat('a', 1, 1), empty(2)], 3, 'live'],
    ['an instance without a fresh heartbeat is suspect', [list('live', 0), heartbeat('a', 1, 1)], 200, 'suspect'],
    ['an instance is leaving if the list announces its stop', [heartbeat('a', 1, 1), list('leaving', 2)], 3, 'leaving'],
    ['an instance is leaving if its heartbeat announces its stop', [list('live', 0), heartbeat('a', 1, 1, true)], 3, 'leaving'],
    ['a restarted instance is not leaving although the lagging list still says so', [heartbeat('a', 1, 1), list('leaving', 2), heartbeat('b', 5, 6), list('leaving', 7)], 8, 'live'],
    ['a late heartbeat of the old incarnation is ignored', [heartbeat('b', 5, 6), heartbeat('a', 1, 7, true)], 8, 'live'],
    ['an unlisted instance without a heartbeat for a long time is removed', [heartbeat('a', 1, 1), empty(2)], 5000, undefined]
  ])('%s', (_case, steps, nowMs, expected) => {
    const view = new MembershipView({ suspectMs: 100, removeMs: 1000 })
    for (const step of steps) step(view)
    view.list(nowMs)
    expect(view.getState('r1', nowMs)).toBe(expected)
  })
})
