interface AccountCounts {
  waiting: number
  running: number
}

/**
 * @name RequestCounts
 * @category Telemetry
 * @summary Waiting and running requests of each client account in this process.
 *
 * @description
 * A client account without such requests takes no memory, so that the size follows the active ones.
 *
 * @example
 * const counts = new RequestCounts()
 * counts.add('quotes', 'waiting', 1)
 * [...counts.list()] // [['quotes', { waiting: 1, running: 0 }]]
 */
export class RequestCounts {
  readonly #byAccount = new Map<string, AccountCounts>()

  add (account: string, state: keyof AccountCounts, difference: 1 | -1): void {
    const counts = this.#byAccount.get(account) ?? { waiting: 0, running: 0 }
    counts[state] += difference
    if (counts.waiting === 0 && counts.running === 0) this.#byAccount.delete(account)
    else this.#byAccount.set(account, counts)
  }

  list (): Iterable<[account: string, counts: Readonly<AccountCounts>]> {
    return this.#byAccount.entries()
  }
}
