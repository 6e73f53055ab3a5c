import { LeaseHolder } from '../../lease/LeaseHolder'

interface SessionRenewerOptions {
  incarnation: string
  leaseMs: number
  renewEveryMs: number
  /** Sends a renewal to the control leader; fails if none replies in time. */
  renew: (session: string, timeoutMs: number) => Promise<{ status: 'granted' | 'session-ended' }>
}

/**
 * @name SessionRenewer
 * @category Idempotency
 * @summary Keeps the router's session with the control leader by renewing its lease.
 *
 * @description
 * A session that control has ended is replaced by a new one. Attempts that were claimed under the old session may no
 * longer send.
 *
 * @param options - Incarnation of the router, times in milliseconds, sender of renewals.
 *
 * @example
 * const renewer = new SessionRenewer({ incarnation, leaseMs: 5000, renewEveryMs: 1000, renew })
 * renewer.start()
 * renewer.isHeld(session) // checked right before the first byte
 */
export class SessionRenewer {
  readonly #options: SessionRenewerOptions
  readonly #lease: LeaseHolder
  #sessionNumber = 1
  #timer?: NodeJS.Timeout
  #isRunning = false

  constructor (options: SessionRenewerOptions) {
    this.#options = options
    this.#lease = new LeaseHolder({ durationMs: options.leaseMs })
  }

  get session (): string {
    return `${this.#options.incarnation}/${this.#sessionNumber}`
  }

  /** Whether the session is the current one and its lease is held now. */
  isHeld (session: string): boolean {
    return session === this.session && this.#lease.isHeld(performance.now())
  }

  start (): void {
    this.#isRunning = true
    void this.#renewSession()
  }

  stop (): void {
    this.#isRunning = false
    clearTimeout(this.#timer)
  }

  /** Starts a new session after control has ended the given one. Does nothing if that one is no longer current. */
  reset (session: string): void {
    if (session !== this.session) return
    this.#sessionNumber++
    this.#lease.revoke()
  }

  async #renewSession (): Promise<void> {
    const { renew, renewEveryMs } = this.#options
    const session = this.session
    const sentAtMs = performance.now()
    try {
      const { status } = await renew(session, renewEveryMs)
      if (status === 'session-ended') this.reset(session)
      else if (session === this.session) this.#lease.confirmRenewal(sentAtMs)
    } catch {
      // The lease expires unless a later renewal succeeds.
    }
    if (!this.#isRunning) return
    const delayMs = session === this.session ? Math.max(0, sentAtMs + renewEveryMs - performance.now()) : 0
    this.#timer = setTimeout(() => this.#renewSession(), delayMs)
  }
}
