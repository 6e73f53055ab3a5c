interface AccountRecord {
  /** Settled cost by zone. */
  totalByZone: Map<string, number>
  /** Estimated cost of requests in progress, by zone. */
  outstandingByZone: Map<string, number>
  /** Sum of settled and outstanding cost over all zones. */
  charged: number
  /** Amount that `raise` has added to the normalised service. */
  lift: number
}

interface AccountLedgerOptions {
  /** The zone whose totals this ledger writes. */
  zone: string
  getWeight: (account: string) => number
}

/**
 * Counters of one account in one zone. Values are absolute, and total and lift merge by maximum, so a repeated or late
 * copy of them does no harm.
 */
interface LedgerEntry {
  zone: string
  /** Settled cost in the zone. */
  total: number
  lift: number
  /** Estimated cost of requests in progress. Each newer copy replaces it. */
  outstanding?: number
}

/**
 * @name AccountLedger
 * @category Schedule
 * @summary Records the service that accounts received from one pool of targets, over all zones.
 *
 * @description
 * Each zone writes its own total of settled cost. Totals only grow, so copies of an entry merge by maximum in any order.
 * Estimates of requests in progress are kept apart from the totals, because the actual cost replaces them and they can
 * shrink.
 * Normalised service = (totals + outstanding) / weight + lift.
 *
 * @param options - Own zone and the weight of an account.
 *
 * @example
 * const ledger = new AccountLedger({ zone: 'perth-a', getWeight: () => 1 })
 * ledger.charge('quotes', 300)
 * ledger.settle('quotes', { charged: 300, cost: 120 })
 * ledger.getNormalisedService('quotes') // 120
 */
export class AccountLedger {
  readonly #options: AccountLedgerOptions
  readonly #records = new Map<string, AccountRecord>()

  constructor (options: AccountLedgerOptions) {
    this.#options = options
  }

  getNormalisedService (account: string): number {
    const record = this.#records.get(account)
    return record ? record.charged / this.#options.getWeight(account) + record.lift : 0
  }

  /** Adds estimated cost; a negative cost cancels an earlier estimate. */
  charge (account: string, cost: number): void {
    const record = this.#getRecord(account)
    this.#setOutstanding(record, this.#options.zone, (record.outstandingByZone.get(this.#options.zone) ?? 0) + cost)
  }

  /** Replaces the estimated cost of a request by its actual cost. */
  settle (account: string, amount: { charged: number, cost: number }): void {
    this.charge(account, -amount.charged)
    const record = this.#getRecord(account)
    this.#setTotal(record, this.#options.zone, (record.totalByZone.get(this.#options.zone) ?? 0) + amount.cost)
  }

  /** Raises the normalised service to a minimum. Returns false if it was not lower. */
  raise (account: string, normalisedService: number): boolean {
    const deficit = normalisedService - this.getNormalisedService(account)
    if (deficit <= 0) return false
    this.#getRecord(account).lift += deficit
    return true
  }

  /**
   * Merges an entry: total and lift by maximum, outstanding cost by replacement. Returns whether the normalised service
   * may have changed.
   */
  merge (account: string, entry: LedgerEntry): boolean {
    const record = this.#getRecord(account)
    const before = record.charged + record.lift
    if (entry.total > (record.totalByZone.get(entry.zone) ?? 0)) this.#setTotal(record, entry.zone, entry.total)
    if (entry.lift > record.lift) record.lift = entry.lift
    if (entry.outstanding !== undefined) this.#setOutstanding(record, entry.zone, entry.outstanding)
    return record.charged + record.lift !== before
  }

  /** Clears the outstanding cost of an unreachable zone; its totals stay. Returns the accounts that changed. */
  clearOutstanding (zone: string): string[] {
    const changed: string[] = []
    for (const [account, record] of this.#records) {
      if (!record.outstandingByZone.get(zone)) continue
      this.#setOutstanding(record, zone, 0)
      changed.push(account)
    }
    return changed
  }

  getEntry (account: string, zone = this.#options.zone): Required<LedgerEntry> {
    const record = this.#records.get(account)
    return { zone, total: record?.totalByZone.get(zone) ?? 0, lift: record?.lift ?? 0, outstanding: record?.outstandingByZone.get(zone) ?? 0 }
  }

  listAccounts (): string[] {
    return [...this.#records.keys()]
  }

  #getRecord (account: string): AccountRecord {
    let record = this.#records.get(account)
    if (!record) {
      record = { totalByZone: new Map(), outstandingByZone: new Map(), charged: 0, lift: 0 }
      this.#records.set(account, record)
    }
    return record
  }

  #setTotal (record: AccountRecord, zone: string, total: number): void {
    record.charged += total - (record.totalByZone.get(zone) ?? 0)
    record.totalByZone.set(zone, total)
  }

  #setOutstanding (record: AccountRecord, zone: string, outstanding: number): void {
    record.charged += outstanding - (record.outstandingByZone.get(zone) ?? 0)
    record.outstandingByZone.set(zone, outstanding)
  }
}
