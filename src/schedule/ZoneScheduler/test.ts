import type { GrantOperation } from '../GrantOperation'
import type { PeerOperation } from '../PeerOperation'
import type { RouterOperation } from '../RouterOperation'
import type { RouterReport } from '../RouterReport'
import type { SchedulerEffect } from '../SchedulerEffect'
import { ZoneScheduler } from '.'

const EMPTY: RouterReport = { session: 1, held: [], backlog: [], settled: [], ledger: [] }
const waiting = (account: string, count: number, options = {}): Extract<RouterOperation, { type: 'backlog' }> =>
  ({ type: 'backlog', account, service: 's', waiting: count, estimate: 10, ...options })

/** A zone with one scheduler, where routers r1 and r2 are registered, and the grants and peer operations it sent. */
class Zone {
  readonly grants: Array<GrantOperation & { router: string }> = []
  readonly toPeers: Array<PeerOperation & { zone: string }> = []
  readonly closed = new Set<string>()
  readonly scheduler: ZoneScheduler
  nowMs = 0

  constructor (readonly zone: string, slots = 1, reports: Record<string, RouterReport> = { r1: EMPTY, r2: EMPTY }, term = 1) {
    this.scheduler = new ZoneScheduler({ zone, term, getWeight: () => 1, isTargetOpen: target => !this.closed.has(target) })
    this.scheduler.setTargets([{ name: `${zone}-e`, service: 's', slots }])
    this.run(this.scheduler.start(0, { routers: Object.keys(reports), zones: [] }))
    for (const [router, report] of Object.entries(reports)) this.run(this.scheduler.handleRegister(0, router, report))
  }

  run (effects: Iterable<SchedulerEffect>): void {
    for (const effect of effects) {
      if (effect.type === 'grant') this.grants.push({ router: effect.router, ...effect.grant })
      else if (effect.type === 'peer' && effect.operation) this.toPeers.push({ zone: effect.zone, ...effect.operation })
    }
  }

  send (router: string, operations: RouterOperation[], lastGrantId = 0, session = 1): void {
    this.run(this.scheduler.handleBatch(this.nowMs, router, { session, lastGrantId, operations }))
  }

  /** Advances the clock. The given routers send heartbeats. */
  advance (ms: number, routers = ['r1', 'r2']): void {
    for (const until = this.nowMs + ms; this.nowMs < until;) {
      this.nowMs += 100
      for (const router of routers) this.send(router, [], 99)
      this.run(this.scheduler.tick(this.nowMs))
    }
  }

  receive (from: Zone, operations = from.takeOperationsFor(this.zone)): void {
    const message = { ...from.scheduler.getPeerMessageHeader(this.zone), operations }
    this.run(this.scheduler.handlePeerMessage(this.nowMs, from.zone, `${from.zone}-r`, message))
  }

  takeOperationsFor (zone: string): PeerOperation[] {
    const taken = this.toPeers.filter(operation => operation.zone === zone)
    for (const operation of taken) this.toPeers.splice(this.toPeers.indexOf(operation), 1)
    return taken
  }
}

/** A zone whose target is closed, so that its requests need slots of another zone. */
function createZoneWithClosedTarget (name: string, term = 1): Zone {
  const zone = new Zone(name, 1, { r1: EMPTY, r2: EMPTY }, term)
  zone.closed.add(`${name}-e`)
  return zone
}

/** Advances both zones and exchanges their pending messages. */
function exchange (a: Zone, b: Zone, rounds = 3): void {
  for (let round = 0; round < rounds; round++) {
    a.advance(100)
    b.advance(100)
    b.receive(a)
    a.receive(b)
  }
}

describe('ZoneScheduler in its zone', () => {
  it('grants free slots to the account with the least service, so that a flood does not starve a small account', () => {
    const zone = new Zone('a')
    zone.send('r1', [waiting('flood', 100)])
    zone.send('r2', [waiting('small', 1)])
    for (const id of [1, 2]) zone.send('r1', [{ type: 'release', id, cost: 10, isHealthy: true }], id)
    expect(zone.grants.map(grant => grant.account)).toEqual(['flood', 'flood', 'small'])
  })

  it('gives out each slot once, also when a router counts its queue before it received a grant', () => {
    const zone = new Zone('a', 4)
    zone.send('r1', [waiting('x', 1)])
    zone.send('r1', [waiting('x', 1)], 0)
    expect(zone.grants).toHaveLength(1)
    zone.send('r1', [waiting('x', 1)], 1)
    expect(zone.grants).toHaveLength(2)
  })

  it.each([
    ['is drained', (zone: Zone) => zone.closed.add('a-e'), {}],
    ['is excluded by the request', () => {}, { excluded: ['a-e'] }]
  ])('grants nothing on a target that %s', (_case, prepare, options) => {
    const zone = new Zone('a')
    prepare(zone)
    zone.send('r1', [waiting('x', 1, options)])
    zone.advance(500)
    expect(zone.grants).toEqual([])
  })

  it('passes over an account whose requests exclude the free target, so that others do not wait behind it', () => {
    const zone = new Zone('a')
    zone.send('r1', [waiting('x', 1, { excluded: ['a-e'] }), waiting('y', 1)])
    expect(zone.grants.map(grant => grant.account)).toEqual(['y'])
  })

  it('takes an unused grant back without charge', () => {
    const zone = new Zone('a')
    zone.send('r1', [waiting('x', 1)])
    zone.send('r1', [{ type: 'decline', id: 1 }, waiting('x', 0)], 1)
    zone.send('r2', [waiting('y', 1)])
    expect(zone.grants.map(grant => grant.account)).toEqual(['x', 'y'])
    expect(zone.scheduler.getPool('s').ledger.getNormalisedService('x')).toBe(0)
  })

  it('frees the slots of a router that is silent for a second and asks it to register when it is back', () => {
    const zone = new Zone('a')
    zone.send('r1', [waiting('x', 1)])
    zone.send('r2', [waiting('y', 1)])
    zone.advance(1_200, ['r2'])
    expect(zone.grants.map(grant => grant.router)).toEqual(['r1', 'r2'])
    expect(zone.scheduler.handleBatch(zone.nowMs, 'r1', { session: 1, lastGrantId: 1, operations: [] }).next()).toEqual({ done: true, value: false })
  })

  it('sends no grants to a target that just failed, so that a dead target does not attract all requests', () => {
    const zone = new Zone('a')
    zone.send('r1', [waiting('x', 5)])
    zone.send('r1', [{ type: 'release', id: 1, cost: 0, isHealthy: false }], 1)
    expect(zone.grants).toHaveLength(1)
    zone.advance(300)
    expect(zone.grants).toHaveLength(2)
  })

  it('ignores failed requests in the cost estimates, so that a dead target does not lower the estimate of an account', () => {
    const zone = new Zone('a')
    zone.send('r1', [waiting('x', 5)])
    zone.send('r1', [{ type: 'release', id: 1, cost: 0, isHealthy: false }], 1)
    expect(zone.scheduler.getPool('s').estimator.compute('x', 10)).toBe(10)
  })

  it('raises the charge while a request exceeds its estimate, before it has ended', () => {
    const zone = new Zone('a', 2)
    zone.send('r1', [waiting('x', 1)])
    zone.send('r1', [{ type: 'progress', id: 1, cost: 500 }], 1)
    expect(zone.scheduler.getPool('s').ledger.getNormalisedService('x')).toBe(500)
  })

  it('raises an account that was idle to the level of the others, so that it gets no credit for idle time', () => {
    const zone = new Zone('a')
    zone.send('r1', [waiting('busy', 100)])
    for (let id = 1; id <= 20; id++) zone.send('r1', [{ type: 'release', id, cost: 10, isHealthy: true }], id)
    zone.send('r2', [waiting('back', 10)])
    for (let id = 21; id <= 24; id++) zone.send(zone.grants[zone.grants.length - 1].router, [{ type: 'release', id: zone.grants[zone.grants.length - 1].id, cost: 10, isHealthy: true }], id)
    expect(zone.grants.slice(-4).filter(grant => grant.account === 'back').length).toBeLessThanOrEqual(2)
  })
})

describe('ZoneScheduler after an election', () => {
  it('counts slots in use and service from the reports, so that the successor neither over-admits nor forgets service', () => {
    const held = [{ id: 7, account: 'x', service: 's', target: 'a-e', charged: 30 }]
    const ledger = [{ service: 's', account: 'x', zone: 'a', total: 1_000, lift: 5 }]
    const zone = new Zone('a', 1, { r1: { ...EMPTY, held, ledger, settled: [{ account: 'x', service: 's', cost: 40 }], backlog: [waiting('y', 1)] } })
    expect(zone.grants).toEqual([])
    expect(zone.scheduler.getPool('s').ledger.getNormalisedService('x')).toBe(1_075)
    zone.send('r1', [{ type: 'release', id: 7, cost: 50, isHealthy: true }], 7)
    expect(zone.grants).toMatchObject([{ id: 8, account: 'y' }])
  })

  it('waits for the reports of live routers at most 300 ms', () => {
    const scheduler = new ZoneScheduler({ zone: 'a', term: 1, getWeight: () => 1, isTargetOpen: () => true })
    scheduler.setTargets([{ name: 'a-e', service: 's', slots: 1 }])
    const collect = (effects: Iterable<SchedulerEffect>): string[] => [...effects].filter(effect => effect.type === 'grant').map(effect => effect.type)
    expect(collect(scheduler.start(0, { routers: ['r1', 'dead'], zones: ['b'] }))).toEqual([])
    expect(collect(scheduler.handleRegister(10, 'r1', { ...EMPTY, backlog: [waiting('x', 1)] }))).toEqual([])
    expect(collect(scheduler.tick(290))).toEqual([])
    expect(collect(scheduler.tick(310))).toEqual(['grant'])
  })
})

describe('ZoneScheduler with other zones', () => {
  it('lends a free slot to the zone where the request waits and settles its cost when it is returned', () => {
    const [a, b] = [new Zone('a'), createZoneWithClosedTarget('b')]
    exchange(a, b)
    b.send('r1', [waiting('x', 1)])
    exchange(a, b)
    expect(b.grants).toMatchObject([{ account: 'x', target: 'a-e', lentBy: { zone: 'a' } }])
    b.send('r1', [{ type: 'release', id: 1, cost: 25, isHealthy: true }], 1)
    exchange(a, b)
    expect(a.scheduler.getPool('s').ledger.getEntry('x')).toMatchObject({ total: 25, outstanding: 0 })
    expect(a.scheduler.getPool('s').targets.countFreeSlots()).toBe(1)
  })

  it('gets a lent slot back at once when the request is gone', () => {
    const [a, b] = [new Zone('a'), createZoneWithClosedTarget('b')]
    exchange(a, b)
    b.send('r1', [waiting('x', 1)])
    a.receive(b)
    b.send('r1', [waiting('x', 0)])
    exchange(a, b)
    expect(b.grants).toEqual([])
    expect(a.scheduler.getPool('s').targets.countFreeSlots()).toBe(1)
  })

  it('reclaims the slots lent to a silent zone after the lease, and refuses lent slots that arrive after the silence', () => {
    const [a, b] = [new Zone('a'), createZoneWithClosedTarget('b')]
    exchange(a, b)
    b.send('r1', [waiting('x', 2)])
    a.receive(b)
    const late = a.takeOperationsFor('b')
    expect(late.map(operation => operation.type)).toContain('lend')
    a.advance(2_300)
    b.advance(2_300)
    expect(a.scheduler.getPool('s').targets.countFreeSlots()).toBe(1)
    b.receive(a, late)
    expect(b.grants).toEqual([])
    expect(b.takeOperationsFor('a').map(operation => operation.type)).toContain('lendDeclined')
  })

  it('ignores the backlog of a zone that is silent for a second, so that a partitioned zone serves its own requests', () => {
    const [a, b] = [new Zone('a'), createZoneWithClosedTarget('b')]
    exchange(a, b)
    b.send('r1', [waiting('x', 5)])
    b.toPeers.push({ zone: 'a', type: 'account', service: 's', account: 'z', total: 0, outstanding: 0, waiting: 5, lift: 0 })
    a.receive(b)
    a.advance(1_300)
    a.takeOperationsFor('b')
    a.send('r1', [waiting('own', 1)], 99)
    a.advance(1_000)
    expect(a.grants.map(grant => grant.account)).toEqual(['own'])
  })

  it('frees slots that were lent to a scheduler whose router died, when its successor reports', () => {
    const [a, b] = [new Zone('a'), createZoneWithClosedTarget('b')]
    exchange(a, b)
    b.send('r1', [waiting('x', 1)])
    exchange(a, b)
    expect(a.scheduler.getPool('s').targets.countFreeSlots()).toBe(0)
    const successor = createZoneWithClosedTarget('b', 2)
    exchange(a, successor)
    expect(a.scheduler.getPool('s').targets.countFreeSlots()).toBe(1)
  })

  it('counts slots that a rejoined zone still uses as in use again, and charges service of both sides once', () => {
    const [a, b] = [new Zone('a', 2), createZoneWithClosedTarget('b')]
    exchange(a, b)
    b.send('r1', [waiting('x', 1)])
    exchange(a, b)
    expect(b.grants).toHaveLength(1)
    a.advance(2_300)
    b.advance(2_300)
    expect(a.scheduler.getPool('s').targets.countFreeSlots()).toBe(2)
    exchange(a, b, 4)
    expect(a.scheduler.getPool('s').targets.countFreeSlots()).toBe(1)
  })
})
