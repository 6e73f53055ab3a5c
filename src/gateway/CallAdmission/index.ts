interface Arrival {
  account: string
  /** Time within which the caller wants the response to begin, in milliseconds. */
  objectiveMs: number
  /** Time that the request has waited to be read, as measured by LoopClock. */
  readMs: number
  /** Typical duration of an iteration of the event loop. */
  iterationMs: number
  /** Time since the event loop last waited for input. */
  busyMs: number
}

/** Iterations of the event loop between the read of a request and its dispatch to a target. */
const STEPS = 2
/** An event loop that has not waited for input for this long has a backlog, not only a few requests at once. */
const BACKLOG_MS = 250
/** Part of the objective that may pass in this router; the rest is left for the target. */
const USABLE_SHARE = 0.5
/** The same for an account that has more than an equal share of this router, while others use it too. */
const LARGE_ACCOUNT_SHARE = 0.4
/** Requests that wait less are accepted in any case. */
const NEGLIGIBLE_MS = 20
/** Time constant of the exponential decay of the accepted requests of an account. */
const DECAY_MS = 2_000
const DECAY_INTERVAL_MS = 100
/** Accounts with a smaller count are forgotten. */
const MIN_COUNT = 0.05
/** Factor by which older iterations count less in the learned time for each request. */
const ITERATION_DECAY = 0.95
/** Used until this many requests were accepted in busy iterations. */
const MIN_LEARNED_REQUESTS = 2
const INITIAL_WORK_MS = 3

/**
 * @name CallAdmission
 * @category Gateway
 * @summary Decides at the arrival of a request whether this router has the processor time to begin it in time.
 *
 * @description
 * Handles the load of one account whose requests all reach the same router, at several times its processor time. What
 * can't be begun in time is refused at once as not run; what is accepted is served. The retries of refused requests reach
 * the same router while it is in rotation, so it refuses no more than it must. The time until a target gets the request is
 * predicted from the time that the request has waited to be read, the iterations of the event loop that are still needed if
 * it has a backlog, and the requests that were accepted since it last waited for input. Accounts with more than an equal
 * share of the accepted requests are refused first. Times are
 * milliseconds of a monotonic clock.
 *
 * @example
 * const admission = new CallAdmission()
 * admission.tryAdmit({ account: 'a', objectiveMs: 600, readMs: 2, iterationMs: 1, busyMs: 2 }, performance.now()) // true
 * admission.addIteration(4, { isBusy: true })
 */
export class CallAdmission {
  /** Accepted requests by account, with exponential decay. */
  readonly #accepted = new Map<string, number>()
  #decayedAtMs = 0
  /** Requests accepted in this iteration of the event loop, and in the previous one. */
  #current = 0
  #previous = 0
  /** Sums over the busy iterations, with exponential decay. */
  #busyMs = 0
  #busyRequests = 0

  /** Accepts a request, or returns false if it must be refused. */
  tryAdmit (arrival: Arrival, nowMs: number): boolean {
    this.#updateCounts(nowMs)
    if (!this.#isInTime(arrival)) return false
    this.#accepted.set(arrival.account, (this.#accepted.get(arrival.account) ?? 0) + 1)
    this.#current++
    return true
  }

  /** Ends an iteration of the event loop. `isBusy`: it began without a wait for input. */
  addIteration (durationMs: number, { isBusy }: { isBusy: boolean }): void {
    if (isBusy) {
      this.#busyMs = ITERATION_DECAY * this.#busyMs + durationMs
      this.#busyRequests = ITERATION_DECAY * this.#busyRequests + this.#current
    }
    this.#previous = isBusy ? this.#current : 0
    this.#current = 0
  }

  #isInTime ({ account, objectiveMs, readMs, iterationMs, busyMs }: Arrival): boolean {
    const workMs = this.#busyRequests < MIN_LEARNED_REQUESTS ? INITIAL_WORK_MS : this.#busyMs / this.#busyRequests
    const stepsMs = busyMs > BACKLOG_MS ? STEPS * iterationMs : 0
    const delayMs = readMs + Math.max(stepsMs, (this.#current + this.#previous) * workMs)
    if (delayMs <= NEGLIGIBLE_MS) return true
    return delayMs <= objectiveMs * (this.#isLarge(account) ? LARGE_ACCOUNT_SHARE : USABLE_SHARE)
  }

  /** Whether an account has more than an equal share of the accepted requests. */
  #isLarge (account: string): boolean {
    if (this.#accepted.size < 2) return false
    let total = 0
    for (const count of this.#accepted.values()) total += count
    return (this.#accepted.get(account) ?? 0) * this.#accepted.size > total
  }

  #updateCounts (nowMs: number): void {
    if (nowMs - this.#decayedAtMs < DECAY_INTERVAL_MS) return
    const factor = Math.exp((this.#decayedAtMs - nowMs) / DECAY_MS)
    this.#decayedAtMs = nowMs
    for (const [account, count] of this.#accepted) {
      if (count * factor < MIN_COUNT) this.#accepted.delete(account)
      else this.#accepted.set(account, count * factor)
    }
  }
}
