import type { RouterReport } from '../../RouterReport'
import type { SchedulerEffect } from '../../SchedulerEffect'
import type { GrantRecord } from '../GrantRecord'
import type { LendTable } from '../LendTable'
import type { PoolSet } from '../PoolSet'
import type { RouterState } from '../RouterState'

interface NewGrant {
  router: string
  service: string
  account: string
  target: string
  charge: number
  hint: number
  lentBy?: { zone: string, id: number }
}

/** A slot of another zone that a grant of this zone uses. */
interface BorrowedSlot {
  zone: string
  /** Id that the lending zone gave to the loan. */
  id: number
  service: string
  account: string
  target: string
  /** Cost charged so far. */
  cost: number
}

/** Records the grants that the routers of the zone hold, charges and settles their cost, and frees their slots. */
export class GrantTable {
  readonly #pools: PoolSet
  readonly #lends: LendTable
  #effects: SchedulerEffect[] = []

  constructor (options: { pools: PoolSet, lends: LendTable }) {
    this.#pools = options.pools
    this.#lends = options.lends
  }

  takeEffects (): SchedulerEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  grant (nowMs: number, state: RouterState, grant: NewGrant): void {
    const { router, service, account, target, charge, hint, lentBy } = grant
    const id = state.nextGrantId++
    const record: GrantRecord = { id, router, service, account, target, charged: charge, hint, grantedAtMs: nowMs, lentBy }
    state.grants.set(id, record)
    if (!lentBy) this.#takeSlot(nowMs, record)
    this.#pools.get(service).updateLocalBacklog(account, router, entry => entry.addGrant(id))
    this.#pools.addChange(service, account)
    this.#effects.push({ type: 'grant', router, session: state.session, grant: { id, account, service, target, estimate: hint, lentBy } })
  }

  /** Restores a grant of an earlier scheduler from the report of a router. */
  restore (nowMs: number, router: string, state: RouterState, held: RouterReport['held'][number]): void {
    const { id, service, account, target, charged, lentBy } = held
    const record: GrantRecord = { id, router, service, account, target, charged, grantedAtMs: nowMs, lentBy }
    state.nextGrantId = Math.max(state.nextGrantId, id + 1)
    state.grants.set(id, record)
    if (!lentBy) this.#takeSlot(nowMs, record)
  }

  release (nowMs: number, state: RouterState, release: { id: number, cost: number, isHealthy: boolean }): void {
    const record = takeRecord(state, release.id)
    if (!record) return
    const { service, account, charged, hint, lentBy } = record
    // A release that counts as a failure of the target is no sample for the cost estimator, because the cost of an
    // interrupted request says nothing about the cost of complete ones.
    if (release.isHealthy) this.#pools.get(service).estimator.observe(account, { hint, cost: release.cost })
    if (lentBy) return this.#lends.releaseBorrowedSlot(lentBy, release.cost, release.isHealthy)
    this.#pools.get(service).targets.release(record.target, nowMs, release.isHealthy)
    this.#pools.settle(service, account, { charged, cost: release.cost })
  }

  handleDeclined (nowMs: number, state: RouterState, id: number): void {
    const record = takeRecord(state, id)
    if (!record) return
    if (record.lentBy) return this.#lends.refuseLend(record.lentBy.zone, record.lentBy.id)
    this.#pools.get(record.service).targets.release(record.target, nowMs)
    this.#pools.charge(record.service, record.account, -record.charged)
  }

  /** Adjusts the charge when a router uses the grant for a request whose estimate differs from that of the grant. */
  setEstimate (state: RouterState, start: { id: number, estimate: number }): void {
    const record = state.grants.get(start.id)
    if (!record) return
    record.hint = start.estimate
    this.#setCharge(record, this.#pools.get(record.service).estimator.compute(record.account, start.estimate))
  }

  recordProgress (state: RouterState, progress: { id: number, cost: number }): void {
    const record = state.grants.get(progress.id)
    if (!record || progress.cost <= record.charged) return
    this.#setCharge(record, progress.cost)
  }

  /**
   * Releases all grants and removes the backlogs of a router that is gone or registers again. The charge so far counts
   * as the cost of each request. The releases count as healthy, so the cost estimator observes these charges too.
   */
  removeRouter (nowMs: number, router: string, state: RouterState): void {
    for (const id of [...state.grants.keys()]) this.release(nowMs, state, { id, cost: state.grants.get(id)!.charged, isHealthy: true })
    for (const [service, pool] of this.#pools.listEntries()) {
      for (const account of pool.removeRouter(router)) this.#pools.addChange(service, account)
    }
  }

  /** Slots of other zones that the grants of a router use. */
  listBorrowedSlots (state: RouterState): BorrowedSlot[] {
    const borrowed: BorrowedSlot[] = []
    for (const { lentBy, service, account, target, charged } of state.grants.values()) {
      if (lentBy) borrowed.push({ ...lentBy, service, account, target, cost: charged })
    }
    return borrowed
  }

  #setCharge (record: GrantRecord, charge: number): void {
    const increase = charge - record.charged
    record.charged = charge
    if (record.lentBy) this.#lends.reportProgress(record.lentBy, charge)
    else this.#pools.charge(record.service, record.account, increase)
  }

  #takeSlot (nowMs: number, record: GrantRecord): void {
    this.#pools.get(record.service).targets.take(record.target, nowMs)
    this.#pools.charge(record.service, record.account, record.charged)
  }
}

function takeRecord (state: RouterState, id: number): GrantRecord | undefined {
  const record = state.grants.get(id)
  state.grants.delete(id)
  return record
}
