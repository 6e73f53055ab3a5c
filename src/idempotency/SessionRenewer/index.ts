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
 * @summary The router's session with the control leader, kept by lease renewals.
 *
 * @description
 * A session that control has ended is replaced by a new one; the claims of the old session can't send any more.
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
  #number = 1
  #timer?: NodeJS.Timeout
  #isRunning = false

  constructor (options: SessionRenewerOptions) {
    this.#options = options
    this.#lease = new LeaseHolder({ durationMs: options.leaseMs })
  }

  get session (): string {
    return `${this.#options.incarnation}/${this.#number}`
  }

  /** Reports whether the session is the current one and its lease is held at this moment. */
  isHeld (session: string): boolean {
    return session === this.session && this.#lease.isHeld(performance.now())
  }

  start (): void {
    this.#isRunning = true
    void this.#runRenewal()
  }

  stop (): void {
    this.#isRunning = false
    clearTimeout(this.#timer)
  }

  /** Begins a new session, because control has ended the given one. */
  reset (session: string): void {
    if (session !== this.session) return
    this.#number++
    this.#lease.revoke()
  }

  async #runRenewal (): Promise<void> {
    const { renew, renewEveryMs } = this.#options
    const session = this.session
    const sentAtMs = performance.now()
    try {
      const { status } = await renew(session, renewEveryMs)
      if (status === 'session-ended') this.reset(session)
      else if (session === this.session) this.#lease.confirmRenewal(sentAtMs)
    } catch {
      // The lease runs out unless a later renewal gets through.
    }
    if (!this.#isRunning) return
    const delayMs = session === this.session ? Math.max(0, sentAtMs + renewEveryMs - performance.now()) : 0
    this.#timer = setTimeout(() => this.#runRenewal(), delayMs)
  }
}
