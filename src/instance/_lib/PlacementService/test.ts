import type { Link } from '../../../link/Link'
import { PlacementService } from '.'

const target = { id: 't1', service: 's', host: '10.0.0.1', port: 1, zone: 'z', slots: 1, isDraining: false, warmupMs: 0 }
const createRequest = (id: string) => ({ id, callId: `call-${id}`, account: 'a', service: 's', zone: 'z', parts: [{ id: `p${id}`, tokens: 100 }], promptTokens: 100, outputTokens: 10, objectiveMs: 600, excluded: [] })

function createLink (): { link: Link, close: () => void } {
  const listeners: Array<() => void> = []
  const link = { peer: { instance: 'edge-1' }, onClose: (listener: () => void) => { listeners.push(listener) } } as unknown as Link
  return { link, close: () => listeners.forEach(listener => listener()) }
}

function createService (isLeader = true) {
  const lines: Array<Record<string, unknown> | undefined> = []
  const log = (_message: string, fields?: Record<string, unknown>) => { lines.push(fields) }
  const logger = { error: log, warn: log, info: log, debug: log }
  const role = { isLeader }
  const service = new PlacementService({ isLeader: () => role.isLeader, getMemoryTokens: () => 1_000, getListAgeMs: () => 40, logger })
  service.setTargets([target])
  const request = (link: Link, id: string) => service.handlers.get('requestPlacement')!(createRequest(id), link) as Promise<{ type: string }>
  return { service, request, lines, role }
}

describe('PlacementService', () => {
  beforeEach(() => { jest.useFakeTimers() })
  afterEach(() => { jest.useRealTimers() })

  // Guards against targets that stay full forever after a router was killed or partitioned.
  it.each([
    ['its link closes', (service: PlacementService, close: () => void) => close()],
    ['it reports nothing', () => { jest.advanceTimersByTime(1_500) }]
  ])('removes the calls of a router when %s', async (_title, lose) => {
    const { service, request } = createService()
    const [lost, other] = [createLink(), createLink()]
    expect(await request(lost.link, '1')).toMatchObject({ type: 'place' })
    lose(service, lost.close)
    expect(await request(other.link, '1')).toMatchObject({ type: 'place' })
    service.close()
  })

  // Guards against refusals that can't be explained: only the scheduler knows the values on which it based them.
  it('logs the values on which each verdict was based', async () => {
    const { service, request, lines } = createService()
    await request(createLink().link, '1')
    expect(lines).toEqual([expect.objectContaining({ requestId: 'call-1', router: 'edge-1', account: 'a', type: 'place', target: 't1', waitMs: 0, waiting: 0, running: 1, listAgeMs: 40 })])
    service.close()
  })

  // Guards against refusals of one account that can't be seen because the lines about its calls are over the rate limit.
  it('logs once a second which accounts were refused and which were served, while calls are refused', async () => {
    const { service, request, lines } = createService()
    const { link } = createLink()
    const stop = setInterval(() => service.observeRouter(link, { targets: [], placements: ['1', '2'] }), 100)
    await request(link, '1')
    const refused = request(link, '2')
    await jest.advanceTimersByTimeAsync(2_000)
    expect(await refused).toMatchObject({ type: 'refuse' })
    const listRefusals = () => lines.filter(line => line !== undefined && 'refusedAccounts' in line)
    expect(listRefusals().at(-1)).toMatchObject({ refusedAccounts: 1, below: [{ account: 'a', askedTokens: 240, placedTokens: 120, refusedTokens: 120, refusedCalls: 1 }], above: [{ account: 'a' }] })
    expect(service.getLowestShare()).toBe(1)
    await jest.advanceTimersByTimeAsync(7_000)
    const { length } = listRefusals()
    await jest.advanceTimersByTimeAsync(3_000)
    expect(listRefusals()).toHaveLength(length)
    clearInterval(stop)
    service.close()
  })

  it('keeps the calls of a router that continues to report its load', async () => {
    const { service, request } = createService()
    const [busy, other] = [createLink(), createLink()]
    await request(busy.link, '1')
    for (let i = 0; i < 6; i++) {
      jest.advanceTimersByTime(250)
      service.observeRouter(busy.link, { targets: [], placements: ['1'] })
    }
    const waiting = request(other.link, '1')
    jest.advanceTimersByTime(300)
    expect(await waiting).toMatchObject({ type: 'refuse' })
    service.close()
  })

  // Guards against calls that stay counted after their end and look like load.
  it('compares the calls that it tracks with the load report of their router once a second', async () => {
    const { service, request, lines } = createService()
    service.setTargets([target, { ...target, id: 't2' }])
    const { link } = createLink()
    await request(link, '1')
    service.handlers.get('adoptPlacements')!([{ request: createRequest('9'), target: 't2', readMs: 5, isRead: true }], link)
    lines.length = 0
    for (let i = 0; i < 4; i++) {
      jest.advanceTimersByTime(250)
      service.observeRouter(link, { targets: [['t2', 1, 100]], placements: ['1', '9'] })
    }
    expect(lines).toEqual([expect.objectContaining({ placed: 1, adopted: 1, unread: 1, oldestMs: 1_000, tracked: 2, reported: 1, surplus: 1, missing: 0, worst: { router: 'edge-1', tracked: 2, reported: 1 } })])
    expect(service.getTracking()).toMatchObject({ placed: 1, adopted: 1, surplus: 1, missing: 0, maxSlowdown: 1 })
    service.close()
  })

  // Guards against two replicas that place calls at the same time, each with an incomplete state.
  it('refuses placement requests at a follower, and fails waiting ones when the service is reset', async () => {
    const follower = createService(false)
    await expect(async () => await follower.request(createLink().link, '1')).rejects.toMatchObject({ kind: 'not-leader' })
    follower.service.close()
    const { service, request } = createService()
    const { link } = createLink()
    await request(link, '1')
    const waiting = request(link, '2')
    service.reset()
    await expect(waiting).rejects.toMatchObject({ kind: 'shutting-down' })
    service.close()
  })

  it('counts the running calls that a router reports to a new leader', async () => {
    const { service, request } = createService()
    const { link } = createLink()
    service.handlers.get('adoptPlacements')!([{ request: createRequest('9'), target: 't1', readMs: 5, isRead: true }], link)
    const waiting = request(link, '10')
    service.handlers.get('reportProgress')!([['9', 'ended']], link)
    jest.advanceTimersByTime(50)
    expect(await waiting).toMatchObject({ type: 'place' })
    service.close()
  })

  const suspect = { service: 's', part: 'p1', crashes: 3, blockedMs: 20_000, targets: ['t0'] }
  const adopt = (service: PlacementService, suspects: object[]) => service.handlers.get('adoptSuspects')!(suspects, createLink().link)
  const listParts = (service: PlacementService) => service.getSuspects().map(({ part }) => part)

  // Guards against a memory of suspected parts that is lost with the leader.
  it('adopts the suspected parts of the routers, and refuses prompts with them', async () => {
    const { service } = createService()
    adopt(service, [suspect])
    expect(service.listSuspects()).toMatchObject([suspect])
    const request = { ...createRequest('1'), parts: [{ id: 'p1', tokens: 100 }, { id: 'last', tokens: 1 }] }
    expect(await service.handlers.get('requestPlacement')!(request, createLink().link)).toMatchObject({ type: 'blocked', part: 'p1', crashes: 3 })
    expect(service.getQuarantineCounts()).toMatchObject({ blockedParts: 1 })
    service.close()
  })

  // Guards against a release by hand that is undone by the copy of a router which was out of touch.
  it('does not adopt a part again that was released by hand', () => {
    const { service } = createService()
    adopt(service, [suspect])
    expect(listParts(service)).toEqual(['p1'])
    expect(service.releasePart(suspect)).toBe(true)
    expect(service.releasePart(suspect)).toBe(false)
    expect(listParts(service)).toEqual([])
    adopt(service, [suspect])
    expect(listParts(service)).toEqual([])
    service.close()
  })

  // Guards against old entries that a replica keeps while others lead, for example of parts that were released meanwhile.
  it('forgets the suspected parts when another replica leads, and neither lists nor adopts any', () => {
    const { service, role } = createService()
    adopt(service, [suspect])
    role.isLeader = false
    service.reset()
    expect(() => service.listSuspects()).toThrow(expect.objectContaining({ kind: 'not-leader' }))
    expect(() => service.releasePart(suspect)).toThrow(expect.objectContaining({ kind: 'not-leader' }))
    expect(() => adopt(service, [suspect])).toThrow(expect.objectContaining({ kind: 'not-leader' }))
    role.isLeader = true
    expect(service.listSuspects()).toEqual([])
    service.close()
  })

  // Guards against load reports whose replies grow with the number of suspected parts.
  it('tells the routers a bounded number of suspected parts, those with the most crashes', () => {
    const { service } = createService()
    for (let first = 0; first < 200; first += 50) adopt(service, Array.from({ length: 50 }, (_, i) => ({ ...suspect, part: `p${first + i}`, crashes: first + i })))
    expect(service.listSuspects()).toHaveLength(200)
    expect(service.getSuspects()).toHaveLength(64)
    expect(Math.min(...service.getSuspects().map(({ crashes }) => crashes))).toBe(136)
    service.close()
  })
})
