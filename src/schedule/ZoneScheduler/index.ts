import { GrantTable } from '../_lib/GrantTable'
import { LendTable } from '../_lib/LendTable'
import type { RouterState } from '../_lib/RouterState'
import type { PeerMessage } from '../PeerMessage'
import type { RouterBatch } from '../RouterBatch'
import type { RouterOperation } from '../RouterOperation'
import type { RouterReport } from '../RouterReport'
import type { SchedulerEffect } from '../SchedulerEffect'
import { ServicePool } from '../ServicePool'
import { PoolSet } from '../_lib/PoolSet'

/** A new scheduler waits at most this long for the full reports of routers and peers before it grants slots. */
const REPORT_TIMEOUT_MS = 300
const ROUTER_TIMEOUT_MS = 1_000
const EXCHANGE_INTERVAL_MS = 200
/**
 * Exchange interval while few accounts change. Short, because zones that grant slots on the basis of outdated totals
 * overshoot together: they all serve the same account.
 */
const FAST_EXCHANGE_INTERVAL_MS = 20
const MAX_FAST_EXCHANGE_ACCOUNTS = 32
/** Routers get ledger entries less often than peers, to bound the traffic of a router; the peers have newer entries. */
const REPLICATION_INTERVAL_MS = 4_000

interface ZoneSchedulerOptions {
  zone: string
  term: number
  getWeight: (account: string) => number
  isTargetOpen: (target: string) => boolean
}

/**
 * @name ZoneScheduler
 * @category Schedule
 * @summary Owns the slots of the targets of one zone and grants them to the accounts in fair order.
 *
 * @description
 * Decision code without I/O: each method takes the time and an input, and yields effects. The state is soft: after
 * `start` the scheduler waits for the full reports of routers and peers, at most 300 ms, and then grants slots.
 *
 * @param options - Own zone, term of this scheduler, weight of an account, whether a target is open.
 *
 * @example
 * const scheduler = new ZoneScheduler({ zone: 'perth-a', term: 1, getWeight: () => 1, isTargetOpen: () => true })
 * scheduler.setTargets([{ name: 'e1', service: 'llama', slots: 8 }])
 * for (const effect of scheduler.start(nowMs, { routers: ['r1'], zones: [] })) run(effect)
 */
export class ZoneScheduler {
  readonly term: number
  readonly #pools: PoolSet
  readonly #grants: GrantTable
  readonly #lends: LendTable
  readonly #routers = new Map<string, RouterState>()
  /** Routers whose reports are still missing. */
  readonly #expectedRouters = new Set<string>()
  /** Zones whose schedulers have not sent a full report yet. */
  readonly #expectedZones = new Set<string>()
  #reportDeadlineMs = Infinity
  #isGranting = false
  #lastExchangeAtMs = -Infinity
  #lastReplicationAtMs = -Infinity

  constructor (options: ZoneSchedulerOptions) {
    this.term = options.term
    this.#pools = new PoolSet(options)
    this.#lends = new LendTable({ term: options.term, pools: this.#pools })
    this.#grants = new GrantTable({ pools: this.#pools, lends: this.#lends })
  }

  get isGranting (): boolean {
    return this.#isGranting
  }

  /**
   * Starts to collect the reports of the live routers and of the schedulers of other zones. Slots granted before the
   * reports arrive would go to whichever accounts the scheduler already knows to be waiting.
   */
  * start (nowMs: number, expected: { routers: Iterable<string>, zones: Iterable<string> }): Generator<SchedulerEffect> {
    for (const router of expected.routers) this.#expectedRouters.add(router)
    for (const zone of expected.zones) this.#expectedZones.add(zone)
    this.#reportDeadlineMs = nowMs + REPORT_TIMEOUT_MS
    yield * this.#grantAndSendChanges(nowMs)
  }

  setTargets (targets: ReadonlyArray<{ name: string, service: string, slots: number }>): void {
    this.#pools.setTargets(targets)
  }

  * handleRegister (nowMs: number, router: string, report: RouterReport): Generator<SchedulerEffect> {
    const previous = this.#routers.get(router)
    if (previous) this.#grants.removeRouter(nowMs, router, previous)
    const state: RouterState = { session: report.session, lastHeardAtMs: nowMs, nextGrantId: 1, grants: new Map() }
    this.#routers.set(router, state)
    this.#expectedRouters.delete(router)
    this.#pools.mergeLedger(report.ledger)
    for (const { service, account, cost } of report.settled) this.#pools.settle(service, account, { charged: 0, cost })
    for (const held of report.held) this.#grants.restore(nowMs, router, state, held)
    for (const backlog of report.backlog) this.#handleBacklog(router, state, backlog, state.nextGrantId - 1)
    yield * this.#grantAndSendChanges(nowMs)
  }

  /** The generator returns false if the router has to register first. */
  * handleBatch (nowMs: number, router: string, batch: RouterBatch): Generator<SchedulerEffect, boolean> {
    const state = this.#routers.get(router)
    if (!state || state.session !== batch.session) return false
    state.lastHeardAtMs = nowMs
    for (const operation of batch.operations) this.#handleOperation(nowMs, router, state, operation, batch.lastGrantId)
    yield * this.#grantAndSendChanges(nowMs)
    return true
  }

  * handlePeerMessage (nowMs: number, zone: string, instance: string, message: PeerMessage): Generator<SchedulerEffect> {
    const { isFullReport, needsFullReport } = this.#lends.handlePeerMessage(nowMs, zone, instance, message)
    if (isFullReport) this.#expectedZones.delete(zone)
    if (needsFullReport) this.#lends.sendChanges(nowMs, () => this.#listBorrowedSlots())
    for (const lend of this.#lends.takeReceivedLends()) this.#grantBorrowedSlot(nowMs, lend)
    yield * this.#grantAndSendChanges(nowMs)
  }

  * removeRouter (nowMs: number, router: string): Generator<SchedulerEffect> {
    const state = this.#routers.get(router)
    if (!state) return
    this.#routers.delete(router)
    this.#grants.removeRouter(nowMs, router, state)
    yield * this.#grantAndSendChanges(nowMs)
  }

  observeLoad (nowMs: number, service: string, target: string, load: { running: number, waiting: number, lagMs: number }): void {
    this.#pools.get(service).targets.observeLoad(target, nowMs, load)
  }

  * tick (nowMs: number): Generator<SchedulerEffect> {
    for (const [service, pool] of this.#pools.listEntries()) {
      pool.targets.tick(nowMs)
      this.#pools.addServiceChange(service)
    }
    for (const [router, state] of this.#routers) {
      if (nowMs - state.lastHeardAtMs > ROUTER_TIMEOUT_MS) yield * this.removeRouter(nowMs, router)
    }
    this.#lends.expire(nowMs)
    yield * this.#grantAndSendChanges(nowMs)
    if (nowMs - this.#lastReplicationAtMs < REPLICATION_INTERVAL_MS) return
    this.#lastReplicationAtMs = nowMs
    yield { type: 'replicate', ledger: this.#pools.takeUnreplicatedEntries() }
  }

  /** Header of the next message to the scheduler of another zone. */
  getPeerMessageHeader (zone: string): Omit<PeerMessage, 'operations'> {
    return this.#lends.getMessageHeader(zone)
  }

  /** Whether the scheduler of another zone is known and has not timed out. */
  hasLivePeer (zone: string): boolean {
    return this.#lends.isLive(zone)
  }

  listPools (): Iterable<[service: string, pool: ServicePool]> {
    return this.#pools.listEntries()
  }

  getPool (service: string): ServicePool {
    return this.#pools.get(service)
  }

  #handleOperation (nowMs: number, router: string, state: RouterState, operation: RouterOperation, lastGrantId: number): void {
    switch (operation.type) {
      case 'backlog': return this.#handleBacklog(router, state, operation, lastGrantId)
      case 'release': return this.#grants.release(nowMs, state, operation)
      case 'decline': return this.#grants.handleDeclined(nowMs, state, operation.id)
      case 'start': return this.#grants.setEstimate(state, operation)
      case 'progress': return this.#grants.recordProgress(state, operation)
    }
  }

  #handleBacklog (router: string, state: RouterState, backlog: RouterReport['backlog'][number], lastGrantId: number): void {
    this.#pools.get(backlog.service).updateLocalBacklog(backlog.account, router, entry => {
      entry.estimate = backlog.estimate
      entry.prefixHash = backlog.prefixHash
      entry.excluded = backlog.excluded && new Set(backlog.excluded)
      entry.setReported(backlog.waiting, lastGrantId)
    })
    this.#pools.addChange(backlog.service, backlog.account)
  }

  /** Grants free slots while requests wait for them, then sends the changes to routers and peers. */
  * #grantAndSendChanges (nowMs: number): Generator<SchedulerEffect> {
    if (!this.#isGranting) this.#isGranting = nowMs >= this.#reportDeadlineMs || (this.#reportDeadlineMs !== Infinity && this.#expectedRouters.size + this.#expectedZones.size === 0)
    if (this.#isGranting) {
      for (const service of this.#pools.takeChangedServices()) this.#grantFreeSlots(nowMs, service)
    }
    yield * this.#grants.takeEffects()
    this.#lends.notifyPeers()
    this.#sendChanges(nowMs)
    yield * this.#lends.takeEffects()
  }

  #sendChanges (nowMs: number): void {
    const intervalMs = this.#lends.countChangedAccounts() > MAX_FAST_EXCHANGE_ACCOUNTS ? EXCHANGE_INTERVAL_MS : FAST_EXCHANGE_INTERVAL_MS
    if (nowMs - this.#lastExchangeAtMs < intervalMs) return
    this.#lastExchangeAtMs = nowMs
    this.#lends.sendChanges(nowMs, () => this.#listBorrowedSlots())
  }

  #grantFreeSlots (nowMs: number, service: string): void {
    const pool = this.#pools.get(service)
    for (let next = pool.choose(); next; next = pool.choose()) {
      if ('zone' in next.recipient) {
        this.#lends.lend(nowMs, service, { ...next, zone: next.recipient.zone })
      } else {
        const { router } = next.recipient
        this.#grants.grant(nowMs, this.#routers.get(router)!, { ...next, service, router })
      }
    }
  }

  #grantBorrowedSlot (nowMs: number, lend: { zone: string, id: number, service: string, account: string, target: string }): void {
    const assignment = this.#isGranting ? this.#pools.get(lend.service).chooseRouter(lend.account, lend.target) : undefined
    if (!assignment) return this.#lends.refuseLend(lend.zone, lend.id)
    const { zone, id, ...slot } = lend
    this.#grants.grant(nowMs, this.#routers.get(assignment.router)!, { ...slot, ...assignment, charge: 0, lentBy: { zone, id } })
  }

  #listBorrowedSlots (): ReturnType<GrantTable['listBorrowedSlots']> {
    return [...this.#routers.values()].flatMap(state => this.#grants.listBorrowedSlots(state))
  }
}
