interface AccountRecord {
  totals: Map<string, number>
  outstanding: Map<string, number>
  sum: number
  lift: number
}

interface AccountLedgerOptions {
  /** The zone whose totals this ledger writes. */
  zone: string
  getWeight: (account: string) => number
}

/** What one zone knows about an account; absolute values, so that a repeated or late copy does no harm. */
interface LedgerCopy {
  zone: string
  total: number
  lift: number
  /** Estimated cost of requests under way. Replaced by each newer copy. */
  outstanding?: number
}

/**
 * @name AccountLedger
 * @category Schedule
 * @summary Service that the accounts received from one pool of targets, over all zones.
 *
 * @description
 * Each zone writes its own total of settled cost. Totals only grow, so copies merge by maximum in any order. Estimates
 * of requests under way are kept beside the totals, because they are replaced by the actual cost and can shrink.
 * Normalised service = (totals + outstanding) / weight + lift.
 *
 * @param options - Own zone and the weight of an account.
 *
 * @example
 * const ledger = new AccountLedger({ zone: 'perth-a', getWeight: () => 1 })
 * ledger.charge('quotes', 300)
 * ledger.settle('quotes', { charged: 300, cost: 120 })
 * ledger.getNormalised('quotes') // 120
 */
export class AccountLedger {
  readonly #options: AccountLedgerOptions
  readonly #records = new Map<string, AccountRecord>()

  constructor (options: AccountLedgerOptions) {
    this.#options = options
  }

  getNormalised (account: string): number {
    const record = this.#records.get(account)
    return record ? record.sum / this.#options.getWeight(account) + record.lift : 0
  }

  /** Adds estimated cost; a negative cost takes an estimate back. */
  charge (account: string, cost: number): void {
    const record = this.#getRecord(account)
    this.#setOutstanding(record, this.#options.zone, (record.outstanding.get(this.#options.zone) ?? 0) + cost)
  }

  /** Replaces estimated cost by the actual cost. */
  settle (account: string, amount: { charged: number, cost: number }): void {
    this.charge(account, -amount.charged)
    const record = this.#getRecord(account)
    this.#setTotal(record, this.#options.zone, (record.totals.get(this.#options.zone) ?? 0) + amount.cost)
  }

  /** Raises the normalised service to a value; never lowers it. */
  raise (account: string, normalised: number): boolean {
    const missing = normalised - this.getNormalised(account)
    if (missing <= 0) return false
    this.#getRecord(account).lift += missing
    return true
  }

  /** Takes over what a copy knows more. Returns whether the normalised service may have changed. */
  merge (account: string, copy: LedgerCopy): boolean {
    const record = this.#getRecord(account)
    const before = record.sum + record.lift
    if (copy.total > (record.totals.get(copy.zone) ?? 0)) this.#setTotal(record, copy.zone, copy.total)
    if (copy.lift > record.lift) record.lift = copy.lift
    if (copy.outstanding !== undefined) this.#setOutstanding(record, copy.zone, copy.outstanding)
    return record.sum + record.lift !== before
  }

  /** Forgets the estimates of a zone that can't be heard. Its totals stay. */
  clearOutstanding (zone: string): string[] {
    const changed: string[] = []
    for (const [account, record] of this.#records) {
      if (!record.outstanding.get(zone)) continue
      this.#setOutstanding(record, zone, 0)
      changed.push(account)
    }
    return changed
  }

  getCopy (account: string, zone = this.#options.zone): Required<LedgerCopy> {
    const record = this.#records.get(account)
    return { zone, total: record?.totals.get(zone) ?? 0, lift: record?.lift ?? 0, outstanding: record?.outstanding.get(zone) ?? 0 }
  }

  listAccounts (): string[] {
    return [...this.#records.keys()]
  }

  #getRecord (account: string): AccountRecord {
    let record = this.#records.get(account)
    if (!record) {
      record = { totals: new Map(), outstanding: new Map(), sum: 0, lift: 0 }
      this.#records.set(account, record)
    }
    return record
  }

  #setTotal (record: AccountRecord, zone: string, total: number): void {
    record.sum += total - (record.totals.get(zone) ?? 0)
    record.totals.set(zone, total)
  }

  #setOutstanding (record: AccountRecord, zone: string, outstanding: number): void {
    record.sum += outstanding - (record.outstanding.get(zone) ?? 0)
    record.outstanding.set(zone, outstanding)
  }
}
