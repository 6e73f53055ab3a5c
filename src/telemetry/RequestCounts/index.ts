interface AccountCounts {
  waiting: number
  running: number
}

/**
 * @name RequestCounts
 * @category Telemetry
 * @summary Number of waiting and running requests of each client account in this process.
 *
 * @description
 * An account without such requests is removed, so that memory use is proportional to the number of active accounts.
 *
 * @example
 * const counts = new RequestCounts()
 * counts.add('quotes', 'waiting', 1)
 * [...counts.list()] // [['quotes', { waiting: 1, running: 0 }]]
 */
export class RequestCounts {
  readonly #byAccount = new Map<string, AccountCounts>()

  /** Changes the number of requests of an account in a state by `delta`. */
  add (account: string, state: keyof AccountCounts, delta: 1 | -1): void {
    const counts = this.#byAccount.get(account) ?? { waiting: 0, running: 0 }
    counts[state] += delta
    if (counts.waiting === 0 && counts.running === 0) this.#byAccount.delete(account)
    else this.#byAccount.set(account, counts)
  }

  list (): Iterable<[account: string, counts: Readonly<AccountCounts>]> {
    return this.#byAccount.entries()
  }
}
