import { AccountBacklog } from '../_lib/AccountBacklog'
import type { BacklogEntry } from '../_lib/BacklogEntry'
import { AccountLedger } from '../AccountLedger'
import { CostEstimator } from '../CostEstimator'
import { IndexedHeap } from '../IndexedHeap'
import { TargetPool } from '../TargetPool'

/** Maximum number of accounts that a decision skips because no free target suits them. Bounds the cost of a decision. */
const MAX_SKIPPED_ACCOUNTS = 16
/** An account's requests in this zone go first, unless more than this many times as many wait in another zone. */
const LOCAL_PREFERENCE_FACTOR = 2
/**
 * An account with requests in this zone goes first if its normalised service is above the lowest one by at most this
 * fraction of the largest request's cost. Lending costs a round trip between zones and several messages, and zones that
 * all serve the same account within one exchange overshoot.
 */
const MAX_LOCAL_LEAD_REQUESTS = 0.25
/**
 * Maximum credit of an account, which is how far its normalised service may be below the highest one, as a multiple of
 * the largest request's cost. It must exceed the gap of normal operation (about two requests and one exchange interval):
 * a smaller value cancels service that is still owed to the account, and the gap then grows with time.
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
  /** Announced cost of the request. */
  hint: number
  /** Cost charged to the account, computed from the announced cost. */
  charge: number
  /** Router of this zone, or zone that borrows the slot. */
  recipient: { router: string } | { zone: string }
}

/**
 * @name ServicePool
 * @category Schedule
 * @summary Decides which account gets the next free slot of one service in one zone.
 *
 * @description
 * The backlogged account with the lowest normalised service comes first, in whichever zone its requests wait; if the
 * difference is small, an account with requests in this zone is preferred. A decision needs time logarithmic in the
 * number of backlogged accounts.
 *
 * @param options - Own zone, weight of an account, whether a target is open.
 *
 * @example
 * const pool = new ServicePool({ zone: 'perth-a', getWeight: () => 1, isTargetOpen: () => true })
 * pool.targets.setTargets([{ name: 'e1', slots: 1 }])
 * pool.updateLocalBacklog('quotes', 'r1', entry => entry.setReported(1, 0))
 * pool.choose() // { account: 'quotes', target: 'e1', recipient: { router: 'r1' }, hint: 1, charge: 1 }
 */
export class ServicePool {
  readonly ledger: AccountLedger
  readonly estimator = new CostEstimator()
  readonly targets: TargetPool
  readonly #options: ServicePoolOptions
  readonly #backlogs = new Map<string, AccountBacklog>()
  /** All backlogged accounts, lowest normalised service first. */
  readonly #lowestFirst = new IndexedHeap<string>()
  /** Accounts with requests in this zone, lowest normalised service first. */
  readonly #localLowestFirst = new IndexedHeap<string>()
  /** All backlogged accounts, highest normalised service first. */
  readonly #highestFirst = new IndexedHeap<string>()
  /** Highest normalised service at which an account was chosen. An account starts no lower if no other is backlogged. */
  #virtualTime = 0
  /** Largest cost of a request so far, divided by the weight of its account. */
  #largestCost = 0

  constructor (options: ServicePoolOptions) {
    this.#options = options
    this.ledger = new AccountLedger(options)
    this.targets = new TargetPool(options)
  }

  get backloggedCount (): number {
    return this.#lowestFirst.size
  }

  /** Accounts that have received service or reported a backlog. */
  listAccounts (): Set<string> {
    return new Set([...this.ledger.listAccounts(), ...this.#backlogs.keys()])
  }

  countLocalWaiting (account: string): number {
    return this.#backlogs.get(account)?.localWaiting ?? 0
  }

  /** Expected cost of the account's next request in this zone. */
  getNextLocalEstimate (account: string): number | undefined {
    for (const entry of this.#backlogs.get(account)?.local.values() ?? []) {
      if (entry.waiting > 0) return this.estimator.compute(account, entry.estimate)
    }
    return undefined
  }

  updateLocalBacklog (account: string, router: string, change: (entry: BacklogEntry) => void): void {
    const backlog = this.#getBacklog(account)
    const wasBacklogged = this.#lowestFirst.has(account)
    backlog.updateLocal(router, change)
    if (backlog.local.get(router)?.waiting === 0) this.#moveRouterToEnd(backlog, router)
    if (!wasBacklogged && backlog.localWaiting > 0) this.#raiseReturningAccount(account)
    this.updateOrder(account)
  }

  updateRemoteBacklog (account: string, zone: string, change: (entry: BacklogEntry) => void): void {
    this.#getBacklog(account).updateRemote(zone, change)
    this.updateOrder(account)
  }

  removeRouter (router: string): string[] {
    return this.#removeBacklogs(backlog => backlog.local.has(router), backlog => backlog.removeLocal(router))
  }

  removeZone (zone: string): string[] {
    const changed = this.ledger.clearOutstanding(zone)
    return [...changed, ...this.#removeBacklogs(backlog => backlog.remote.has(zone), backlog => backlog.removeRemote(zone))]
  }

  /** Updates the position of an account in the order after a change of its ledger or backlog. */
  updateOrder (account: string): void {
    const backlog = this.#backlogs.get(account)
    if (!backlog || backlog.waiting === 0) return this.#removeFromOrder(account)
    const normalisedService = this.ledger.getNormalisedService(account)
    this.#lowestFirst.set(account, normalisedService)
    this.#highestFirst.set(account, -normalisedService)
    if (backlog.localWaiting > 0) this.#localLowestFirst.set(account, normalisedService)
    else this.#localLowestFirst.remove(account)
  }

  observeCost (account: string, cost: number): void {
    this.#largestCost = Math.max(this.#largestCost, cost / this.#options.getWeight(account))
  }

  choose (): Assignment | undefined {
    if (!this.targets.hasFreeTarget || this.targets.choose({}) === undefined) return undefined
    const skipped: string[] = []
    let assignment: Assignment | undefined
    while (!assignment && skipped.length < MAX_SKIPPED_ACCOUNTS) {
      const account = this.#chooseAccount()
      if (account === undefined) break
      assignment = this.#chooseSlot(account)
      if (assignment) break
      skipped.push(account)
      this.#removeFromOrder(account)
    }
    for (const account of skipped) this.updateOrder(account)
    if (assignment) this.#virtualTime = Math.max(this.#virtualTime, this.ledger.getNormalisedService(assignment.account))
    return assignment
  }

  /** Chooses a router of this zone where a request of the account waits that may use the target. */
  chooseRouter (account: string, target: string): { router: string, hint: number } | undefined {
    for (const [router, entry] of this.#backlogs.get(account)?.local ?? []) {
      if (entry.waiting > 0 && !entry.excluded?.has(target)) return { router, hint: entry.estimate }
    }
    return undefined
  }

  /** Raises accounts whose credit exceeds the maximum, then chooses the account that comes next. */
  #chooseAccount (): string | undefined {
    for (;;) {
      const account = this.#lowestFirst.peek()
      const highest = this.#highestFirst.peek()
      if (account === undefined || highest === undefined || this.#largestCost === 0) return account
      const floor = this.ledger.getNormalisedService(highest) - MAX_CREDIT_REQUESTS * this.#largestCost
      if (!this.ledger.raise(account, floor)) return this.#applyLocalPreference(account)
      this.updateOrder(account)
    }
  }

  /** Prefers an account with requests in this zone if its normalised service is close to the lowest one. */
  #applyLocalPreference (lowest: string): string {
    const local = this.#localLowestFirst.peek()
    if (local === undefined) return lowest
    const lead = this.ledger.getNormalisedService(local) - this.ledger.getNormalisedService(lowest)
    return lead <= MAX_LOCAL_LEAD_REQUESTS * this.#largestCost ? local : lowest
  }

  #removeFromOrder (account: string): void {
    this.#lowestFirst.remove(account)
    this.#localLowestFirst.remove(account)
    this.#highestFirst.remove(account)
  }

  #chooseSlot (account: string): Assignment | undefined {
    const backlog = this.#backlogs.get(account)!
    const remote = backlog.findLongestRemote()
    const isRemoteFirst = remote !== undefined && remote.entry.waiting > LOCAL_PREFERENCE_FACTOR * backlog.localWaiting
    const assignment = isRemoteFirst ? this.#chooseRemoteSlot(account, remote) : this.#chooseLocalSlot(account, backlog)
    return assignment ?? (!isRemoteFirst && remote ? this.#chooseRemoteSlot(account, remote) : undefined)
  }

  #chooseLocalSlot (account: string, backlog: AccountBacklog): Assignment | undefined {
    for (const [router, entry] of backlog.local) {
      if (entry.waiting === 0) continue
      const target = this.targets.choose(entry)
      if (target === undefined) continue
      this.#moveRouterToEnd(backlog, router)
      return { account, target, recipient: { router }, hint: entry.estimate, charge: this.estimator.compute(account, entry.estimate) }
    }
    return undefined
  }

  #chooseRemoteSlot (account: string, remote: { zone: string, entry: BacklogEntry }): Assignment | undefined {
    const target = this.targets.choose({})
    if (target === undefined) return undefined
    return { account, target, recipient: { zone: remote.zone }, hint: remote.entry.estimate, charge: remote.entry.estimate }
  }

  /** Moves a router to the end, so that the routers of an account are served round robin. */
  #moveRouterToEnd (backlog: AccountBacklog, router: string): void {
    const entry = backlog.local.get(router)!
    backlog.local.delete(router)
    backlog.local.set(router, entry)
  }

  #raiseReturningAccount (account: string): void {
    const lowest = this.#lowestFirst.peek()
    this.ledger.raise(account, lowest === undefined ? this.#virtualTime : this.ledger.getNormalisedService(lowest))
  }

  #removeBacklogs (isAffected: (backlog: AccountBacklog) => boolean, remove: (backlog: AccountBacklog) => void): string[] {
    const changed: string[] = []
    for (const [account, backlog] of this.#backlogs) {
      if (!isAffected(backlog)) continue
      remove(backlog)
      changed.push(account)
      this.updateOrder(account)
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
