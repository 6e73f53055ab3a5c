/**
 * Time constant of the exponential decay: after this time 37% of a use still counts against a client account, and after
 * several times as long hardly any.
 */
const DECAY_MS = 4_000

/**
 * @name AccountUsage
 * @category Routing
 * @summary Recent engine time used by each client account.
 *
 * @description
 * An exponentially decaying sum of costs. Waiting requests of the account with the least recent use are placed first, so
 * that an account that sends many times its usual load can't displace the others. Times are milliseconds of a monotonic
 * clock.
 *
 * @example
 * usage.charge('a', 120, nowMs)
 * usage.get('a', nowMs + 4_000) // about 44
 */
export class AccountUsage {
  readonly #sums = new Map<string, { cost: number, atMs: number }>()

  get (account: string, nowMs: number): number {
    const sum = this.#sums.get(account)
    return sum ? sum.cost * Math.exp(-(nowMs - sum.atMs) / DECAY_MS) : 0
  }

  charge (account: string, cost: number, nowMs: number): void {
    this.#sums.set(account, { cost: this.get(account, nowMs) + cost, atMs: nowMs })
  }
}
