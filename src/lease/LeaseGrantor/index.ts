/**
 * @name LeaseGrantor
 * @category Lease
 * @summary The grantor's side of leases.
 *
 * @description
 * A lease is expired when no renewal has arrived for its duration and the drift margin. The margin covers the
 * difference in speed of the two clocks. A grantor that takes over from another one registers the known holders, which
 * starts their count anew. Times are milliseconds of the grantor's monotonic clock.
 *
 * @param options - `durationMs`, `driftMarginMs`.
 *
 * @example
 * const grantor = new LeaseGrantor({ durationMs: 5000, driftMarginMs: 1000 })
 * grantor.renew('r1-a', 0)
 * grantor.listExpired(5999) // []
 * grantor.listExpired(6000) // ['r1-a']
 */
export class LeaseGrantor {
  readonly #lifetimeMs: number
  readonly #renewedAtMs = new Map<string, number>()

  constructor (options: { durationMs: number, driftMarginMs: number }) {
    this.#lifetimeMs = options.durationMs + options.driftMarginMs
  }

  renew (holder: string, nowMs: number): void {
    this.#renewedAtMs.set(holder, nowMs)
  }

  /** Starts the count of a holder that is not known yet. */
  register (holder: string, nowMs: number): void {
    if (!this.#renewedAtMs.has(holder)) this.renew(holder, nowMs)
  }

  remove (holder: string): void {
    this.#renewedAtMs.delete(holder)
  }

  /** Forgets all holders, because another grantor took over. */
  clear (): void {
    this.#renewedAtMs.clear()
  }

  listHolders (): string[] {
    return [...this.#renewedAtMs.keys()]
  }

  listExpired (nowMs: number): string[] {
    return [...this.#renewedAtMs].filter(([, renewedAtMs]) => nowMs - renewedAtMs >= this.#lifetimeMs).map(([holder]) => holder)
  }
}
