import { computePrefillMs } from '../src/routing/computePrefillMs'
import { PlacementNetwork } from './_lib/PlacementNetwork'

const createTarget = (id: string, slots = 48) => ({ id, service: 's', host: '10.0.0.1', port: 1, zone: 'z', slots, isDraining: false, warmupMs: 0 })
const TARGETS = ['t1', 't2', 't3', 't4'].map(id => createTarget(id))
/** Four load reports: the leader has to know all calls that run, and no others, within this time. */
const SETTLE_MS = 1_000

let network: PlacementNetwork

/** Advances the fake clock in small steps, so that messages and replies in flight are handled in order. */
async function advance (ms: number): Promise<void> {
  for (let i = 0; i < ms; i += 10) await jest.advanceTimersByTimeAsync(10)
}

async function start (router: number, id: string): Promise<void> {
  const started = network.routers[router].start(id)
  await advance(10)
  expect(await started).toBe(true)
}

/** Makes a router take the scheduler for lost: the reply to one request arrives after its time limit. */
async function delayReply (router: number, id: string): Promise<void> {
  const link = network.routers[router].links[network.leader!]
  link.replyDelayMs = 400
  const started = network.routers[router].start(id)
  await advance(330)
  link.replyDelayMs = 1
  expect(await started).toBe(true)
}

async function expectSettled (): Promise<void> {
  await advance(SETTLE_MS)
  expect({ leader: network.services[network.leader!].getCounts().running }).toEqual({ leader: network.running })
}

describe('The leader counts the calls that the routers run', () => {
  beforeEach(() => {
    jest.useFakeTimers()
    network = new PlacementNetwork({ replicas: 2, routers: 3, targets: TARGETS })
  })
  afterEach(() => {
    network.close()
    jest.useRealTimers()
  })

  it('while nothing is lost', async () => {
    for (const id of ['1', '2', '3']) for (const router of [0, 1, 2]) await start(router, id)
    network.routers[0].record('1', 'read')
    network.routers[0].record('1', 'ended')
    await expectSettled()
    expect(network.running).toBe(8)
  })

  // Guards against calls that stay counted forever because they end while their router takes the leader for lost.
  it('after calls end within half a second of a late reply', async () => {
    await start(0, '1')
    network.routers[0].record('1', 'read')
    await delayReply(0, '2')
    await advance(100)
    network.routers[0].record('1', 'ended')
    await advance(600)
    await start(0, '3')
    await expectSettled()
  })

  // Guards against prefill that stays outstanding forever, which makes the wait at an engine look like seconds.
  it('and holds no outstanding prefill for calls that end unread within half a second of a late reply', async () => {
    for (const id of ['1', '2', '3', '4']) await start(0, id)
    await delayReply(0, '5')
    await advance(100)
    for (const id of ['1', '2', '3', '4', '5']) network.routers[0].record(id, 'unreachable')
    await advance(600)
    await start(0, '6')
    network.routers[0].record('6', 'read')
    await expectSettled()
    expect(network.services[0].getTracking().pendingPrefillMs).toBe(0)
  })

  // Guards against calls that stay counted when a router has no request for which it would register again.
  it('after a late reply, although the router places nothing further', async () => {
    await start(0, '1')
    await delayReply(0, '2')
    await advance(600)
    await expectSettled()
    expect(network.running).toBe(2)
  })

  // Guards against calls of a lost router that are placed after its link closed and never end.
  it('after the link of a router closes while its request waits for a slot', async () => {
    network.close()
    network = new PlacementNetwork({ replicas: 1, routers: 2, targets: [createTarget('t1', 1)] })
    await start(0, '1')
    const waiting = network.routers[1].start('1')
    await advance(50)
    network.routers[1].leader = undefined
    network.routers[1].links[0].close()
    await advance(10)
    network.routers[0].record('1', 'ended')
    await advance(SETTLE_MS)
    await waiting
    expect(network.services[0].getCounts()).toMatchObject({ running: 0, waiting: 0 })
  })

  // Guards against engines that look empty to a replica which leads again: it has discarded its state, and routers whose
  // link is the same as before report nothing.
  it('after a replica loses the lead and leads again', async () => {
    for (const router of [0, 1, 2]) await start(router, '1')
    network.setLeader(undefined)
    await advance(300)
    network.setLeader(0)
    await start(0, '2')
    await expectSettled()
    expect(network.running).toBe(4)
  })

  // Guards against engines that look empty because a router was stalled for a second and its calls were dropped.
  it('after a router sends no load report for longer than a second', async () => {
    await start(0, '1')
    network.routers[0].isSilent = true
    await advance(1_500)
    network.routers[0].isSilent = false
    await start(0, '2')
    await expectSettled()
    expect(network.running).toBe(2)
  })

  // Guards against engines that look empty after a stall of the leader itself: it took all routers for lost and dropped all
  // calls before it read the load reports that had arrived.
  it('after the leader stalls for longer than a second', async () => {
    for (const router of [0, 1, 2]) await start(router, '1')
    for (const { links } of network.routers) links[0].pause()
    await advance(1_500)
    for (const { links } of network.routers) links[0].resume()
    await expectSettled()
    expect(network.running).toBe(3)
  })

  // Guards against calls that a replica refuses to adopt because routers take it for the leader before it knows itself.
  it('after routers register at a replica that does not lead yet', async () => {
    for (const router of [0, 1]) await start(router, '1')
    network.setLeader(undefined, { isAnnounced: false })
    for (const router of network.routers) router.leader = 1
    for (const router of [0, 1]) {
      const started = network.routers[router].start('2')
      await advance(20)
      await started
    }
    network.setLeader(1)
    await advance(600)
    await start(0, '3')
    await start(1, '3')
    await expectSettled()
  })

  // Guards against a call that the new leader never learns of: its verdict arrived from the old one after the router had
  // registered its calls at the new one.
  it('after a verdict of the previous leader arrives when the router has registered at the next one', async () => {
    const link = network.routers[0].links[0]
    link.replyDelayMs = 200
    const started = network.routers[0].start('1')
    await advance(20)
    network.setLeader(1)
    await start(0, '2')
    await advance(200)
    expect(await started).toBe(true)
    await expectSettled()
    expect(network.running).toBe(2)
  })

  // Guards against calls that are counted twice, once for each link, while the replica has not seen the old link close.
  it('after a router replaces a link that stays open at the replica', async () => {
    await start(0, '1')
    await start(0, '2')
    network.routers[0].reconnect(0, { isClosed: false })
    await start(0, '3')
    network.routers[0].record('1', 'ended')
    await advance(300)
    await expectSettled()
    expect(network.running).toBe(2)
  })

  // Guards against a router whose calls stay unknown after it reconnects, because it has no new request.
  it('after a router reconnects without a new request', async () => {
    await start(0, '1')
    network.routers[0].reconnect(0)
    await expectSettled()
    expect(network.running).toBe(1)
  })

  // Guards against a leader that works through its backlog after a stall and keeps calls that ended meanwhile.
  it('after the leader stalls for two seconds while calls end', async () => {
    for (const router of [0, 1, 2]) await start(router, '1')
    for (const { links } of network.routers) links[0].pause()
    const started = network.routers.map(router => router.start('2'))
    await advance(600)
    for (const router of network.routers) router.record('1', 'ended')
    await advance(1_400)
    for (const { links } of network.routers) links[0].resume()
    await Promise.all(started)
    await advance(600)
    for (const router of [0, 1, 2]) await start(router, '3')
    await expectSettled()
  })
})

describe('Routers that place prompts by themselves', () => {
  beforeEach(() => {
    jest.useFakeTimers()
    network = new PlacementNetwork({ replicas: 1, routers: 24, targets: TARGETS })
  })
  afterEach(() => {
    network.close()
    jest.useRealTimers()
  })

  // Guards against waits of seconds at the engines while there is no scheduler: each router took every engine without calls
  // of its own for free.
  it('place together no more than the engines can read within the objective, and use all of it', async () => {
    for (const router of network.routers) router.leader = undefined
    const results = network.routers.flatMap(({ start }) => Array.from({ length: 8 }, (_, i) => start(String(i), { promptTokens: 6_000 })))
    await advance(260)
    const placed = (await Promise.all(results)).filter(isPlaced => isPlaced).length
    const prefillMs = placed * computePrefillMs(6_000, 0)
    expect(prefillMs).toBeLessThanOrEqual(600 * TARGETS.length)
    expect(prefillMs).toBeGreaterThan(300 * TARGETS.length)
  })
})

describe('The estimates of the leader', () => {
  beforeEach(() => { jest.useFakeTimers() })
  afterEach(() => {
    network.close()
    jest.useRealTimers()
  })

  // Guards against engines that get more calls than they have slots: the calls that were placed before an engine left the
  // list are missing in its new state when it returns.
  it('count the calls of an engine that leaves the list and returns', async () => {
    const [flapping, other] = [createTarget('t1', 2), createTarget('t2', 2)]
    network = new PlacementNetwork({ replicas: 1, routers: 1, targets: [flapping] })
    await start(0, '1')
    await start(0, '2')
    const [service] = network.services
    service.setTargets([other])
    await advance(100)
    service.setTargets([flapping])
    const results = ['3', '4'].map(id => network.routers[0].start(id))
    await advance(300)
    expect(await Promise.all(results)).toEqual([false, false])
  })

  // Guards against engines that get more calls than they have slots after a change of leader: routers report their calls
  // before the new leader has read the list of targets.
  it('count calls that are adopted before the list of targets is known', async () => {
    const target = createTarget('t1', 2)
    network = new PlacementNetwork({ replicas: 2, routers: 1, targets: [target] })
    await start(0, '1')
    await start(0, '2')
    network.services[1].setTargets([])
    network.setLeader(1)
    await advance(300)
    network.services[1].setTargets([target])
    const results = ['3', '4'].map(id => network.routers[0].start(id))
    await advance(300)
    expect(await Promise.all(results)).toEqual([false, false])
  })

  // Guards against engines that look slow after a change of leader: the estimate of an adopted call contains no wait for the
  // prefills before it, so each of its first events counts as late.
  it('do not take engines for slow because calls were adopted', async () => {
    network = new PlacementNetwork({ replicas: 2, routers: 1, targets: [createTarget('t1')] })
    for (let i = 0; i < 6; i++) await start(0, String(i))
    const ids = ['0', '1', '2', '3', '4', '5']
    network.setLeader(1)
    await advance(300)
    // Each prompt takes the engine 50 ms, one after the other; the leader knew of none of this work when it began.
    for (const id of ids) {
      await advance(50)
      network.routers[0].record(id, 'read')
    }
    await advance(20)
    expect(network.services[1].getTracking().maxSlowdown).toBeCloseTo(1, 1)
  })

  // Guards against engines that look slow because the leader was: it compared its estimate with the time at which it got to
  // read the event.
  it('do not take engines for slow because the leader stalled', async () => {
    network = new PlacementNetwork({ replicas: 1, routers: 1, targets: [createTarget('t1')] })
    for (let i = 0; i < 6; i++) await start(0, String(i))
    const [link] = network.routers[0].links
    link.pause()
    for (let i = 0; i < 6; i++) network.routers[0].record(String(i), 'read')
    await advance(900)
    link.resume()
    await advance(50)
    expect(network.services[0].getTracking().maxSlowdown).toBeCloseTo(1, 1)
  })
})
