import type { PlacementRequest } from '../../contract/PlacementRequest'
import type { PlacementVerdict } from '../../contract/PlacementVerdict'
import { CrashMonitor } from '../CrashMonitor'
import { PromptQuarantine } from '../PromptQuarantine'
import { PromptScheduler } from '.'

const createTarget = (id: string, changes: object = {}) => ({ id, service: 's', host: '10.0.0.1', port: 1, zone: 'z', slots: 48, isDraining: false, warmupMs: 0, ...changes })

const createCrashMonitor = () => {
  const log = () => {}
  return new CrashMonitor({ quarantine: new PromptQuarantine(), logger: { error: log, warn: log, info: log, debug: log } })
}

function createScheduler (targets = ['t1', 't2', 't3', 't4'].map(id => createTarget(id)), startedMs = -60_000) {
  const scheduler = new PromptScheduler({ getMemoryTokens: () => 444_000, getLoadShare: () => 1, crashMonitor: createCrashMonitor(), random: () => 0.5, startedMs })
  scheduler.setTargets(targets)
  return scheduler
}

let nextId = 0
const createRequest = (changes: Partial<PlacementRequest> & { shared?: string, sharedTokens?: number, ownTokens?: number } = {}): PlacementRequest => {
  const { shared = 'doc', sharedTokens = 13_000, ownTokens = 3_000, ...rest } = changes
  const id = String(nextId++)
  return { id, account: 'a', service: 's', zone: 'z', parts: [{ id: shared, tokens: sharedTokens }, { id: `own${id}`, tokens: ownTokens }], promptTokens: sharedTokens + ownTokens, outputTokens: 100, objectiveMs: 600, excluded: [], ...rest }
}
/** Serves an account so much that it is not short of its share when its next request of this size arrives. */
const serve = (scheduler: PromptScheduler, changes: Parameters<typeof createRequest>[0]) => {
  for (let i = 0; i < 3; i++) {
    const request = createRequest(changes)
    scheduler.request(request, 0)
    scheduler.record(request.id, 'read', 0)
    scheduler.record(request.id, 'ended', 0)
  }
}
const getTarget = (verdict: PlacementVerdict | undefined) => verdict?.type === 'place' ? verdict.target : verdict?.type

describe('PromptScheduler', () => {
  // Load pattern: many prompts with few long shared parts. If they are spread evenly, each engine prefills all the parts.
  it('prefills each shared part at one engine while that has capacity', () => {
    const scheduler = createScheduler()
    for (const shared of ['d1', 'd2', 'd3', 'd4', 'd5', 'd6']) {
      const used = new Set<string | undefined>()
      for (let i = 0; i < 5; i++) {
        const request = createRequest({ shared })
        used.add(getTarget(scheduler.request(request, 0)))
        scheduler.record(request.id, 'read', 10)
      }
      expect(used.size).toBe(1)
    }
  })

  // Load pattern: one prompt becomes hot. On a single engine all of its requests would be late.
  it('uses a second engine for a hot prompt, and refuses requests that no engine can start in time', () => {
    const scheduler = createScheduler()
    const first = Array.from({ length: 40 }, () => createRequest())
    const targets = first.map(request => getTarget(scheduler.request(request, 0)))
    expect(new Set(targets.filter(target => target !== undefined)).size).toBe(2)
    expect(targets.filter(target => target === undefined).length).toBeGreaterThan(10)
    expect([...scheduler.step(100)]).toEqual([])
    const verdicts = [...scheduler.step(250)].map(([, verdict]) => verdict)
    expect(verdicts.every(verdict => verdict.type === 'refuse' && verdict.retryAfterS > 1)).toBe(true)
    expect(scheduler.waitingCount).toBe(0)
  })

  // Load pattern: overload. Without a bound on the outstanding prefill of engines, every request is late.
  it('places only requests whose first event is predicted to be on time', () => {
    const scheduler = createScheduler([createTarget('t1')])
    let readMs = 0
    for (let i = 0; i < 100; i++) {
      const verdict = scheduler.request(createRequest({ shared: `d${i}`, sharedTokens: 4_000 }), 0)
      if (verdict?.type === 'place') readMs += verdict.readMs
    }
    expect(readMs).toBeGreaterThan(300)
    expect(readMs).toBeLessThan(600)
  })

  // Guards against starvation of the largest prompts, whose first event is predicted to be late at every engine.
  it('places a prompt of any size at an engine without outstanding prefill', () => {
    const scheduler = createScheduler([createTarget('t1')])
    expect(getTarget(scheduler.request(createRequest({ ownTokens: 60_000 }), 0))).toBe('t1')
    expect(scheduler.request(createRequest({ ownTokens: 60_000 }), 0)).toBeUndefined()
  })

  // Guards against starvation of large prompts under overload, because smaller prompts take up all capacity first.
  it('places a limited number of large prompts at engines with outstanding prefill, although they are predicted to be late', () => {
    const scheduler = createScheduler()
    for (const shared of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) scheduler.request(createRequest({ shared, sharedTokens: 10, ownTokens: 2_000 }), 0)
    const large = Array.from({ length: 3 }, (_, i) => createRequest({ shared: `large${i}`, sharedTokens: 10, ownTokens: 40_000 }))
    const verdicts = large.map(request => getTarget(scheduler.request(request, 0)))
    expect(verdicts.filter(target => target !== undefined)).toHaveLength(1)
    scheduler.record(large[verdicts.findIndex(target => target !== undefined)].id, 'read', 90)
    expect([...scheduler.step(100)].filter(([, verdict]) => verdict.type === 'place')).toHaveLength(1)
  })

  // Load pattern: one account sends many times its usual load. Its requests must not displace those of the others.
  it('places the request of the account with the least recent service first', () => {
    const scheduler = createScheduler([createTarget('t1', { slots: 1 })])
    const running = createRequest({ account: 'hot' })
    scheduler.request(running, 0)
    const hot = createRequest({ account: 'hot' })
    const small = createRequest({ account: 'small' })
    scheduler.request(hot, 1)
    scheduler.request(small, 2)
    scheduler.record(running.id, 'read', 50)
    scheduler.record(running.id, 'ended', 60)
    expect([...scheduler.step(61)].map(([id]) => id)).toEqual([small.id])
  })

  // Load pattern: one account fills up all engines. A prompt of another account that fits nowhere in time was refused at
  // each attempt, so that the account got none of its share.
  it('places a prompt of an account that is short of its share although it is predicted to be late', () => {
    const scheduler = createScheduler([createTarget('t1')])
    for (let i = 0; i < 40; i++) scheduler.request(createRequest({ account: 'hot', shared: 'h', ownTokens: 1_500 }), 0)
    const short = { account: 'rare', shared: 'other', ownTokens: 16_000 }
    expect(scheduler.request(createRequest(short), 1)).toBeUndefined()
    expect([...scheduler.step(202)].at(-1)).toMatchObject([expect.any(String), { type: 'refuse' }])
    // The engine has read some prompts of the hot account, and is still busy for longer than the objective allows.
    for (const { request } of scheduler.listRunning().slice(0, 5)) scheduler.record(request.id, 'read', 203)
    const verdict = scheduler.request(createRequest(short), 203)
    expect(getTarget(verdict)).toBe('t1')
    expect(verdict?.type === 'place' && verdict.waitMs + verdict.readMs).toBeGreaterThan(480)
    // From then on its share is covered, and it waits like others.
    expect(scheduler.request(createRequest({ account: 'rare', shared: 'other', ownTokens: 3_000 }), 204)).toBeUndefined()
  })

  // Guards against an account whose targets crash or refuse its calls, and which then counts as served.
  it('takes back the service of calls that end before they are read', () => {
    const scheduler = createScheduler([createTarget('t1')])
    const standing = () => scheduler.shares.list(0).find(([account]) => account === 'a')
    scheduler.shares.recordDemand('other', 900, 0)
    const [unreachable, expired, read] = [createRequest(), createRequest(), createRequest()]
    for (const request of [unreachable, expired, read]) scheduler.request(request, 0)
    scheduler.record(unreachable.id, 'unreachable', 5)
    scheduler.record(expired.id, 'ended', 5)
    scheduler.record(read.id, 'read', 5)
    scheduler.record(read.id, 'ended', 6)
    expect(standing()).toEqual(['a', 2 * 16_200, 16_200])
  })

  // Guards against one call with a false count of tokens that makes the traffic of all others look small.
  it('counts no call for more tokens than an engine has memory', () => {
    const scheduler = createScheduler([createTarget('t1')])
    scheduler.request(createRequest({ account: 'a', promptTokens: 1e15 }), 0)
    scheduler.shares.recordDemand('other', 900, 0)
    expect(scheduler.shares.list(0)).toEqual([['a', 444_000, 444_000], ['other', 900, 0]])
  })

  // Guards against accounts with few requests, which would count as short at each of them and make engines late.
  it('places no late prompt of an account that was served in full', () => {
    const scheduler = createScheduler([createTarget('t1')])
    for (let i = 0; i < 40; i++) scheduler.request(createRequest({ account: 'hot', shared: 'h', ownTokens: 1_500 }), 0)
    expect(scheduler.request(createRequest({ account: 'new', shared: 'other', ownTokens: 10_000 }), 1)).toBeUndefined()
  })

  // Load pattern: one account sends many times its share in short prompts, which fill each gap in the queue of an engine
  // up to the objective, so that the longer prompts of the others fit nowhere.
  it('leaves room in the queues of engines to the accounts within their share', () => {
    const scheduler = createScheduler([createTarget('t1')])
    serve(scheduler, { account: 'b', shared: 'other', sharedTokens: 4_000, ownTokens: 6_000 })
    scheduler.shares.recordDemand('refused', 900_000, 0)
    for (let i = 0; i < 60; i++) scheduler.request(createRequest({ account: 'hot', shared: 'h', sharedTokens: 1_000, ownTokens: 1_000 }), 0)
    const verdict = scheduler.request(createRequest({ account: 'b', shared: 'other', sharedTokens: 4_000, ownTokens: 4_000 }), 1)
    expect(verdict).toMatchObject({ type: 'place' })
    expect(verdict?.type === 'place' && verdict.waitMs + verdict.readMs).toBeLessThan(480)
  })

  // Load pattern: two hot accounts, one with many small prompts. Without a reservation, new arrivals take up each bit of
  // free capacity, and the waiting account gets none.
  it('reserves the next free capacity of an engine for a waiting request of an account with less recent service, ahead of later requests of other accounts', () => {
    const scheduler = createScheduler([createTarget('t1')])
    serve(scheduler, { account: 'rare', shared: 'other', sharedTokens: 4_000, ownTokens: 6_000 })
    const hot = Array.from({ length: 40 }, () => createRequest({ account: 'hot', shared: 'h', ownTokens: 1_500 }))
    const placed = hot.filter(request => scheduler.request(request, 0)?.type === 'place')
    const rare = createRequest({ account: 'rare', shared: 'other', sharedTokens: 4_000, ownTokens: 6_000 })
    expect(scheduler.request(rare, 0)).toBeUndefined()
    let nowMs = 0
    for (const { id } of placed.slice(0, -2)) {
      nowMs += 12
      scheduler.record(id, 'read', nowMs)
      expect(getTarget(scheduler.request(createRequest({ account: 'hot', shared: 'h', ownTokens: 1_500 }), nowMs))).toBeUndefined()
      const verdicts = new Map(scheduler.step(nowMs))
      if (verdicts.has(rare.id)) break
    }
    expect(scheduler.listRunning().some(({ request }) => request.id === rare.id)).toBe(true)
    expect(nowMs).toBeLessThanOrEqual(200)
    for (const { id } of placed.slice(-6)) scheduler.record(id, 'read', nowMs)
    expect(getTarget(scheduler.request(createRequest({ account: 'hot', shared: 'h', ownTokens: 100 }), nowMs))).toBeDefined()
  })

  // Guards against an engine that stays reserved after the caller with the reservation has left.
  it('releases the reservation of an engine when the waiting request has ended', () => {
    const scheduler = createScheduler([createTarget('t1')])
    serve(scheduler, { account: 'rare', shared: 'other', sharedTokens: 4_000, ownTokens: 6_000 })
    const hot = Array.from({ length: 40 }, () => createRequest({ account: 'hot', shared: 'h', ownTokens: 1_500 }))
    const placed = hot.filter(request => scheduler.request(request, 0)?.type === 'place')
    const rare = createRequest({ account: 'rare', shared: 'other', sharedTokens: 4_000, ownTokens: 6_000 })
    expect(scheduler.request(rare, 0)).toBeUndefined()
    for (const { id } of hot) if (!placed.some(request => request.id === id)) scheduler.record(id, 'ended', 1)
    scheduler.record(rare.id, 'ended', 1)
    for (const { id } of placed.slice(0, 3)) scheduler.record(id, 'read', 2)
    expect(getTarget(scheduler.request(createRequest({ account: 'hot', shared: 'h', ownTokens: 100 }), 2))).toBe('t1')
  })

  it('skips targets that are draining, excluded or unreachable', () => {
    const scheduler = createScheduler([createTarget('t1'), createTarget('t2', { isDraining: true })])
    expect(getTarget(scheduler.request(createRequest({ excluded: ['t1'] }), 0))).toBe('none')
    const both = createScheduler([createTarget('t1'), createTarget('t2')])
    const request = createRequest()
    const target = getTarget(both.request(request, 0))
    both.record(request.id, 'unreachable', 1)
    expect(getTarget(both.request(createRequest(), 2))).not.toBe(target)
    // From another zone the target may be reachable.
    expect(getTarget(both.request(createRequest({ zone: 'y' }), 3))).toBe(target)
  })

  it('skips a target that has sent no first event for seconds after a placement', () => {
    const scheduler = createScheduler([createTarget('t1'), createTarget('t2')])
    const target = getTarget(scheduler.request(createRequest(), 0))
    expect(getTarget(scheduler.request(createRequest(), 3_000))).not.toBe(target)
  })

  // Load pattern: a new scheduler after a failure. If it assumed empty caches, it would refuse requests that the engines
  // could serve at once.
  it('assumes for some seconds after its start that the shared parts of a prompt are cached at the first target in the rendezvous order', () => {
    const read = (startedMs: number) => {
      const verdict = createScheduler(undefined, startedMs).request(createRequest(), 0)
      return verdict?.type === 'place' ? verdict.readMs : Infinity
    }
    expect(read(0)).toBeLessThan(read(-60_000) / 2)
  })

  // Guards against load that stays counted for ever after a caller has left or a router has restarted.
  it('counts a running call of another scheduler only once, and no longer after it has ended', () => {
    const scheduler = createScheduler()
    const request = createRequest()
    scheduler.accept({ request, target: 't1', readMs: 50, isRead: false }, 0)
    scheduler.accept({ request, target: 't1', readMs: 50, isRead: false }, 0)
    expect(scheduler.listRunning()).toEqual([{ request, target: 't1', readMs: 50, isRead: false }])
    scheduler.record(request.id, 'ended', 5)
    scheduler.record(request.id, 'ended', 6)
    expect(scheduler.runningCount).toBe(0)
  })

  it('uses only its share of the capacity of a target when it places a part of the load of the fleet', () => {
    const place = (share: number) => {
      const scheduler = new PromptScheduler({ getMemoryTokens: () => 444_000, getLoadShare: () => share, crashMonitor: createCrashMonitor(), random: () => 0, startedMs: -60_000 })
      scheduler.setTargets([createTarget('t1')])
      return Array.from({ length: 40 }, (_, i) => scheduler.request(createRequest({ shared: `d${i}`, sharedTokens: 1_000, ownTokens: 1_000 }), 0)).filter(verdict => verdict?.type === 'place').length
    }
    expect(place(1)).toBeGreaterThan(3 * place(1 / 9))
  })

  // Guards against a prompt part that crashes one target after the other, and against calls that crash one after they waited.
  it('refuses prompts with a part under which two targets crashed, also those that wait', () => {
    const scheduler = createScheduler()
    const crashing = (...shared: string[]) => createRequest({ parts: [...shared, `own${nextId}`].map(id => ({ id, tokens: 10 })) })
    const [first, second] = [crashing('a', 'bad'), crashing('b', 'bad')]
    scheduler.request(first, 0)
    scheduler.record(first.id, 'lost', 100)
    const target = getTarget(scheduler.request(second, 3_000))
    const waiting = createRequest({ parts: ['c', 'bad', 'own'].map(id => ({ id, tokens: 10 })), ownTokens: 90_000, objectiveMs: 1 })
    for (let i = 0; i < 8; i++) scheduler.request(createRequest({ shared: 'bad' }), 3_001)
    expect(scheduler.request(waiting, 3_002)).toBeUndefined()
    for (const call of scheduler.listRunning()) if (call.target === target) scheduler.record(call.request.id, 'lost', 3_100)
    expect(new Map(scheduler.step(3_110)).get(waiting.id)).toMatchObject({ type: 'blocked', part: 'bad', crashes: 2 })
    expect(scheduler.request(crashing('d', 'bad'), 3_120)).toMatchObject({ type: 'blocked', part: 'bad' })
    expect(getTarget(scheduler.request(crashing('a'), 3_120))).toMatch(/^t/)
  })

  // Guards against waits of seconds at slow engines that are not real: the outstanding prefill of a call was scaled by the
  // slowdown when the call was placed, and once more when the wait of the next one was estimated.
  it('scales the outstanding prefill of a slow engine once', () => {
    const scheduler = createScheduler([createTarget('t1')])
    for (let i = 0; i < 10; i++) {
      const request = createRequest({ objectiveMs: 600 })
      scheduler.request(request, i * 1_000)
      scheduler.record(request.id, 'read', i * 1_000 + 900)
      scheduler.record(request.id, 'ended', i * 1_000 + 950)
    }
    const [first, second] = [createRequest({ objectiveMs: 20_000 }), createRequest({ objectiveMs: 20_000 })]
    const placed = scheduler.request(first, 10_000) as { readMs: number }
    expect(scheduler.getEstimates(10_000).maxSlowdown).toBeGreaterThan(2)
    expect((scheduler.request(second, 10_000) as { waitMs: number }).waitMs).toBeCloseTo(placed.readMs)
  })
})
