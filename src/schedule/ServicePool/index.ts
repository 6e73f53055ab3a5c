import { AccountBacklog } from '../_lib/AccountBacklog'
import type { BacklogEntry } from '../_lib/BacklogEntry'
import { AccountLedger } from '../AccountLedger'
import { CostEstimator } from '../CostEstimator'
import { IndexedHeap } from '../IndexedHeap'
import { TargetPool } from '../TargetPool'

/** Accounts that are passed over in one decision because no free target suits them. Bounds the cost of a decision. */
const MAX_PASSED_OVER = 16
/** Requests of the own zone go first until another zone has more than this many times as many of the account. */
const LOCAL_PREFERENCE = 2
/**
 * An account whose requests wait in the own zone may be ahead by this part of the largest request's cost and still go
 * first. Lending costs a round trip between zones and several messages, and zones that all serve the same account
 * within one exchange overshoot.
 */
const LOCAL_LEAD_REQUESTS = 0.25
/**
 * MAX_CREDIT as a multiple of the largest request's cost. It must exceed the gap of normal operation (about two
 * requests and one exchange interval): a smaller value cancels debts that are due, and the gap then grows with time.
 */
const MAX_CREDIT_REQUESTS = 32

interface ServicePoolOptions {
  zone: string
  getWeight: (account: string) => number
  isTargetOpen: (target: string) => boolean
}

interface Assignment {
  account: string
  target: string
  /** Announced cost, and the charge that follows from it. */
  hint: number
  charge: number
  /** Router of the own zone, or the zone that the slot is lent to. */
  to: { router: string } | { zone: string }
}

/**
 * @name ServicePool
 * @category Schedule
 * @summary Decides which account gets the next free slot of one service in one zone.
 *
 * @description
 * The backlogged account with the lowest normalised service comes first, wherever its requests wait. A decision takes
 * a number of steps that is logarithmic in the number of backlogged accounts.
 *
 * @param options - Own zone, weight of an account, whether a target is open.
 *
 * @example
 * const pool = new ServicePool({ zone: 'perth-a', getWeight: () => 1, isTargetOpen: () => true })
 * pool.targets.setTargets([{ name: 'e1', slots: 1 }])
 * pool.updateLocal('quotes', 'r1', entry => entry.report(1, 0))
 * pool.choose() // { account: 'quotes', target: 'e1', to: { router: 'r1' }, hint: 1, charge: 1 }
 */
export class ServicePool {
  readonly ledger: AccountLedger
  readonly estimator = new CostEstimator()
  readonly targets: TargetPool
  readonly #options: ServicePoolOptions
  readonly #backlogs = new Map<string, AccountBacklog>()
  readonly #order = new IndexedHeap<string>()
  /** The accounts that have requests in the own zone. */
  readonly #localOrder = new IndexedHeap<string>()
  /** All backlogged accounts, furthest ahead first. */
  readonly #ahead = new IndexedHeap<string>()
  /** Normalised service of the account that was chosen last. Accounts that return when none is backlogged start here. */
  #virtualTime = 0
  #largestCost = 0

  constructor (options: ServicePoolOptions) {
    this.#options = options
    this.ledger = new AccountLedger(options)
    this.targets = new TargetPool(options)
  }

  get backloggedCount (): number {
    return this.#order.size
  }

  /** Accounts with service or with requests that wait. */
  listAccounts (): Set<string> {
    return new Set([...this.ledger.listAccounts(), ...this.#backlogs.keys()])
  }

  countLocal (account: string): number {
    return this.#backlogs.get(account)?.localWaiting ?? 0
  }

  /** Expected cost of the next request of the account in the own zone. */
  getEstimate (account: string): number | undefined {
    for (const entry of this.#backlogs.get(account)?.local.values() ?? []) {
      if (entry.waiting > 0) return this.estimator.compute(account, entry.estimate)
    }
    return undefined
  }

  updateLocal (account: string, router: string, change: (entry: BacklogEntry) => void): void {
    const backlog = this.#getBacklog(account)
    const wasBacklogged = this.#order.has(account)
    backlog.updateLocal(router, change)
    if (backlog.local.get(router)?.waiting === 0) this.#moveToEnd(backlog, router)
    if (!wasBacklogged && backlog.localWaiting > 0) this.#raiseReturning(account)
    this.update(account)
  }

  updateRemote (account: string, zone: string, change: (entry: BacklogEntry) => void): void {
    this.#getBacklog(account).updateRemote(zone, change)
    this.update(account)
  }

  removeRouter (router: string): string[] {
    return this.#removePlace(backlog => backlog.local.has(router), backlog => backlog.removeLocal(router))
  }

  removeZone (zone: string): string[] {
    const changed = this.ledger.clearOutstanding(zone)
    return [...changed, ...this.#removePlace(backlog => backlog.remote.has(zone), backlog => backlog.removeRemote(zone))]
  }

  /** Brings an account's place in the order up to date after a change of its ledger or backlog. */
  update (account: string): void {
    const backlog = this.#backlogs.get(account)
    if (!backlog || backlog.waiting === 0) return this.#remove(account)
    const normalised = this.ledger.getNormalised(account)
    this.#order.set(account, normalised)
    this.#ahead.set(account, -normalised)
    if (backlog.localWaiting > 0) this.#localOrder.set(account, normalised)
    else this.#localOrder.remove(account)
  }

  observeCost (account: string, cost: number): void {
    this.#largestCost = Math.max(this.#largestCost, cost / this.#options.getWeight(account))
  }

  choose (): Assignment | undefined {
    if (!this.targets.hasFree || this.targets.choose({}) === undefined) return undefined
    const passedOver: string[] = []
    let assignment: Assignment | undefined
    while (!assignment && passedOver.length < MAX_PASSED_OVER) {
      const account = this.#chooseAccount()
      if (account === undefined) break
      assignment = this.#chooseSlot(account)
      if (assignment) break
      passedOver.push(account)
      this.#remove(account)
    }
    for (const account of passedOver) this.update(account)
    if (assignment) this.#virtualTime = Math.max(this.#virtualTime, this.ledger.getNormalised(assignment.account))
    return assignment
  }

  /** Where a slot for a given account and target can be used in the own zone. */
  chooseRouter (account: string, target: string): { router: string, hint: number } | undefined {
    for (const [router, entry] of this.#backlogs.get(account)?.local ?? []) {
      if (entry.waiting > 0 && !entry.excluded?.has(target)) return { router, hint: entry.estimate }
    }
    return undefined
  }

  /** The account that is due next, after its credit was bounded. */
  #chooseAccount (): string | undefined {
    for (;;) {
      const account = this.#order.peek()
      const furthest = this.#ahead.peek()
      if (account === undefined || furthest === undefined || this.#largestCost === 0) return account
      const floor = this.ledger.getNormalised(furthest) - MAX_CREDIT_REQUESTS * this.#largestCost
      if (!this.ledger.raise(account, floor)) return this.#selectLocal(account)
      this.update(account)
    }
  }

  /** An account with requests in the own zone goes first if it is nearly level with the one that is due. */
  #selectLocal (due: string): string {
    const local = this.#localOrder.peek()
    if (local === undefined) return due
    const lead = this.ledger.getNormalised(local) - this.ledger.getNormalised(due)
    return lead <= LOCAL_LEAD_REQUESTS * this.#largestCost ? local : due
  }

  #remove (account: string): void {
    this.#order.remove(account)
    this.#localOrder.remove(account)
    this.#ahead.remove(account)
  }

  #chooseSlot (account: string): Assignment | undefined {
    const backlog = this.#backlogs.get(account)!
    const remote = backlog.findLongestRemote()
    const isRemoteFirst = remote !== undefined && remote.entry.waiting > LOCAL_PREFERENCE * backlog.localWaiting
    const assignment = isRemoteFirst ? this.#chooseRemoteSlot(account, remote) : this.#chooseLocalSlot(account, backlog)
    return assignment ?? (!isRemoteFirst && remote ? this.#chooseRemoteSlot(account, remote) : undefined)
  }

  #chooseLocalSlot (account: string, backlog: AccountBacklog): Assignment | undefined {
    for (const [router, entry] of backlog.local) {
      if (entry.waiting === 0) continue
      const target = this.targets.choose(entry)
      if (target === undefined) continue
      this.#moveToEnd(backlog, router)
      return { account, target, to: { router }, hint: entry.estimate, charge: this.estimator.compute(account, entry.estimate) }
    }
    return undefined
  }

  #chooseRemoteSlot (account: string, remote: { zone: string, entry: BacklogEntry }): Assignment | undefined {
    const target = this.targets.choose({})
    if (target === undefined) return undefined
    return { account, target, to: { zone: remote.zone }, hint: remote.entry.estimate, charge: remote.entry.estimate }
  }

  /** Moves a router to the end, so that the routers of an account take turns. */
  #moveToEnd (backlog: AccountBacklog, router: string): void {
    const entry = backlog.local.get(router)!
    backlog.local.delete(router)
    backlog.local.set(router, entry)
  }

  #raiseReturning (account: string): void {
    const first = this.#order.peek()
    this.ledger.raise(account, first === undefined ? this.#virtualTime : this.ledger.getNormalised(first))
  }

  #removePlace (isAffected: (backlog: AccountBacklog) => boolean, remove: (backlog: AccountBacklog) => void): string[] {
    const changed: string[] = []
    for (const [account, backlog] of this.#backlogs) {
      if (!isAffected(backlog)) continue
      remove(backlog)
      changed.push(account)
      this.update(account)
    }
    return changed
  }

  #getBacklog (account: string): AccountBacklog {
    let backlog = this.#backlogs.get(account)
    if (!backlog) {
      backlog = new AccountBacklog()
      this.#backlogs.set(account, backlog)
    }
    return backlog
  }
}
