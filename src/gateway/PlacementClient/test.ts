import { AppError } from '../../contract/AppError'
import type { Link } from '../../link/Link'
import { PlacementClient } from '.'

const target = { id: 't1', service: 's', host: '10.0.0.1', port: 1, zone: 'z', slots: 8, isDraining: false, warmupMs: 0 }
const createRequest = (id: string) => ({ id, account: 'a', service: 's', zone: 'z', parts: [{ id: 'p', tokens: 100 }], promptTokens: 100, outputTokens: 10, objectiveMs: 600, excluded: [] })

interface FakeLink { link: Link, sent: Array<[string, unknown]>, requests: string[] }

function createLink (reply: () => Promise<unknown>): FakeLink {
  const sent: Array<[string, unknown]> = []
  const requests: string[] = []
  const link = {
    peer: { instance: 'c1' },
    isClosed: false,
    send: (type: string, body: unknown) => { sent.push([type, body]) },
    request: (_type: string, body: { id: string }) => { requests.push(body.id); return reply() }
  }
  return { link: link as unknown as Link, sent, requests }
}

function createClient (getLink: () => Link | undefined): PlacementClient {
  const log = (): void => {}
  const client = new PlacementClient({ getLink, getMemoryTokens: () => 10_000, getLoadShare: () => 1 / 1, logger: { error: log, warn: log, info: log, debug: log } })
  client.setTargets([target])
  return client
}

describe('PlacementClient', () => {
  it('places prompts locally while no scheduler is known', async () => {
    expect(await createClient(() => undefined).request(createRequest('1'))).toMatchObject({ scheduler: 'local', verdict: { type: 'place', target: 't1' } })
  })

  // Guards against requests that wait one after the other for a scheduler that was killed or partitioned.
  it('places prompts locally when the scheduler does not reply, and does not ask it again at once', async () => {
    const { link, sent, requests } = createLink(() => Promise.reject(new AppError('control-unavailable', 'No reply.')))
    const client = createClient(() => link)
    expect((await client.request(createRequest('1'))).scheduler).toBe('local')
    expect((await client.request(createRequest('2'))).scheduler).toBe('local')
    expect(requests).toEqual(['1'])
    // If the scheduler has placed the call although no valid reply arrived, this report ends the call there.
    expect(sent).toContainEqual(['reportProgress', [['1', 'ended']]])
  })

  it('reports running calls to a new scheduler, and the progress of calls to the scheduler that tracks them', async () => {
    const place = async (): Promise<unknown> => ({ type: 'place', target: 't1', waitMs: 0, readMs: 5 })
    const [first, second] = [createLink(place), createLink(place)]
    let current = first
    const client = createClient(() => current.link)
    expect((await client.request(createRequest('1'))).scheduler).toBe('c1')
    current = second
    await client.request(createRequest('2'))
    expect(second.sent[0]).toMatchObject(['adoptPlacements', [{ request: { id: '1' }, target: 't1' }]])
    client.record('1', 'ended')
    client.record('2', 'read')
    await new Promise(resolve => setImmediate(resolve))
    expect(second.sent.slice(1)).toEqual([['reportProgress', [['1', 'ended'], ['2', 'read', expect.any(Number)]]]])
  })

  // Guards against ends of calls that are lost without a sign, so that the scheduler counts the calls forever.
  it('counts the events that it can not send', async () => {
    const { link } = createLink(async () => ({ type: 'place', target: 't1', waitMs: 0, readMs: 5 }))
    const client = createClient(() => link)
    await client.request(createRequest('1'))
    await client.request(createRequest('2'))
    client.record('1', 'ended')
    await new Promise(resolve => setImmediate(resolve))
    expect(client.unsentProgress).toBe(0)
    Object.assign(link, { isClosed: true })
    client.record('2', 'ended')
    await new Promise(resolve => setImmediate(resolve))
    expect(client.unsentProgress).toBe(1)
  })

  // Guards against a scheduler that stays late after its election: each late reply made its router send all running calls
  // again, as many records a second as the scheduler places prompts.
  it('reports only the calls that the scheduler does not track, after a late reply', async () => {
    const replies = [
      () => Promise.resolve({ type: 'place', target: 't1', waitMs: 0, readMs: 5 }),
      () => Promise.reject(new AppError('control-unavailable', 'No reply.', { outcome: 'unknown' })),
      () => Promise.resolve({ type: 'place', target: 't1', waitMs: 0, readMs: 5 })
    ]
    const { link, sent } = createLink(() => replies.shift()!())
    const client = createClient(() => link)
    expect((await client.request(createRequest('1'))).scheduler).toBe('c1')
    expect((await client.request(createRequest('2'))).scheduler).toBe('local')
    await new Promise(resolve => setTimeout(resolve, 600))
    expect((await client.request(createRequest('3'))).scheduler).toBe('c1')
    const [, second] = sent.filter(([type]) => type === 'adoptPlacements').map(([, body]) => (body as Array<{ request: { id: string } }>).map(({ request }) => request.id))
    expect(second).toEqual(['2'])
  })

  // Guards against a part that crashes further targets while a router waits for the verdict of a scheduler that was lost,
  // and against blocks that never end because no router asks the scheduler for a probe.
  it('refuses prompts with a part that is blocked for long without asking the scheduler, and asks it about short blocks', async () => {
    const { link, requests } = createLink(async () => ({ type: 'blocked', part: 'bad', crashes: 3, retryAfterS: 1 }))
    const client = createClient(() => link)
    const request = { ...createRequest('1'), callId: 'c', parts: [{ id: 'bad', tokens: 100 }, { id: 'last', tokens: 1 }] }
    const suspect = { service: 's', part: 'bad', crashes: 3, blockedMs: 20_000, targets: ['t0'] }
    client.applySummary({ suspects: [], term: 1, shares: [], unknownPlacements: [] }, link)
    client.applySummary({ suspects: [suspect], term: 1, shares: [], unknownPlacements: [] }, link)
    expect(await client.request(request)).toMatchObject({ scheduler: 'local', verdict: { type: 'blocked', part: 'bad', crashes: 3 } })
    expect(requests).toEqual([])
    expect(client.countBlockedParts()).toBe(1)
    client.applySummary({ suspects: [{ ...suspect, blockedMs: 3_000 }], term: 1, shares: [], unknownPlacements: [] }, link)
    expect(await client.request(request)).toMatchObject({ scheduler: 'c1', verdict: { type: 'blocked' } })
    expect(requests).toEqual(['1'])
    expect(client.blockedCalls).toBe(2)
  })

  // Guards against a new scheduler that places a prompt with a blocked part, because it has not received the copy yet.
  it('hands its suspected parts over to a new scheduler before it asks for a placement', async () => {
    const place = async () => ({ type: 'place', target: 't1', waitMs: 0, readMs: 5 })
    const [first, second] = [createLink(place), createLink(place)]
    let current = first
    const client = createClient(() => current.link)
    client.applySummary({ suspects: [], term: 1, shares: [], unknownPlacements: [] }, first.link)
    client.applySummary({ suspects: [{ service: 's', part: 'bad', crashes: 2, blockedMs: 300, targets: ['t0'] }], term: 1, shares: [], unknownPlacements: [] }, first.link)
    current = second
    await client.request({ ...createRequest('1'), callId: 'c' })
    expect(second.sent.map(([type]) => type)).toEqual(['adoptPlacements', 'adoptSuspects'])
    expect(second.sent[1]).toMatchObject(['adoptSuspects', [{ part: 'bad', crashes: 2 }]])
  })
})
