/**
 * @name LeaseHolder
 * @category Lease
 * @summary The holder's side of a lease.
 *
 * @description
 * The lease is counted from the time at which a renewal is sent, not from its reply. It therefore ends at the holder
 * before it expires at the grantor, whatever the delay of the messages. Times are milliseconds of the holder's monotonic
 * clock.
 *
 * @param options - `durationMs`: duration of the lease after a renewal.
 *
 * @example
 * const lease = new LeaseHolder({ durationMs: 5000 })
 * lease.confirmRenewal(1000)
 * lease.isHeld(5999) // true
 * lease.isHeld(6000) // false
 */
export class LeaseHolder {
  readonly #durationMs: number
  #endsAtMs = -Infinity

  constructor (options: { durationMs: number }) {
    this.#durationMs = options.durationMs
  }

  isHeld (nowMs: number): boolean {
    return nowMs < this.#endsAtMs
  }

  /** Records the reply to a renewal that was sent at the given time. Replies may arrive late and out of order. */
  confirmRenewal (sentAtMs: number): void {
    this.#endsAtMs = Math.max(this.#endsAtMs, sentAtMs + this.#durationMs)
  }

  /** Ends the lease at once, after the grantor has refused it. */
  revoke (): void {
    this.#endsAtMs = -Infinity
  }
}
