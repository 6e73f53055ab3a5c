/**
 * @name LeaseGrantor
 * @category Lease
 * @summary The grantor's side of leases.
 *
 * @description
 * A lease expires when no renewal has arrived for its duration plus the drift margin. The margin covers the difference
 * in speed of the two clocks. A grantor that takes over from another one registers the known holders, which restarts
 * their leases. Times are milliseconds of the grantor's monotonic clock.
 *
 * @param options - `durationMs`: duration of a lease. `driftMarginMs`: allowance for clock drift.
 *
 * @example
 * const grantor = new LeaseGrantor({ durationMs: 5000, driftMarginMs: 1000 })
 * grantor.renew('r1-a', 0)
 * grantor.listExpired(5999) // []
 * grantor.listExpired(6000) // ['r1-a']
 */
export class LeaseGrantor {
  readonly #expireAfterMs: number
  readonly #renewedAtMs = new Map<string, number>()

  constructor (options: { durationMs: number, driftMarginMs: number }) {
    this.#expireAfterMs = options.durationMs + options.driftMarginMs
  }

  /** Records a renewal, or grants a lease to a new holder. */
  renew (holder: string, nowMs: number): void {
    this.#renewedAtMs.set(holder, nowMs)
  }

  /** Starts the lease of a holder that is not known yet. */
  register (holder: string, nowMs: number): void {
    if (!this.#renewedAtMs.has(holder)) this.renew(holder, nowMs)
  }

  remove (holder: string): void {
    this.#renewedAtMs.delete(holder)
  }

  /** Removes all holders, after another grantor has taken over. */
  clear (): void {
    this.#renewedAtMs.clear()
  }

  listHolders (): string[] {
    return [...this.#renewedAtMs.keys()]
  }

  /** The holders whose lease has expired. */
  listExpired (nowMs: number): string[] {
    return [...this.#renewedAtMs].filter(([, renewedAtMs]) => nowMs - renewedAtMs >= this.#expireAfterMs).map(([holder]) => holder)
  }
}
