/** Time over which the work of the event loop is judged. */
const WINDOW_MS = 2_000
/** A loop that waits for input less than this is busy; one that was paused from outside isn't. */
const BUSY_UTILIZATION = 0.9
/** A busy loop that is later than this with a timer makes callers wait. */
const LATE_MS = 30
/** Late time within the window from which the router counts as overloaded. */
const OVERLOAD_MS = 1_000
/** Late time within the window up to which it has recovered. */
const RECOVERY_MS = 200
/** Calls that arrive in a turn which is late by this much have waited as long unseen, and others wait behind them. */
const SHED_LATE_MS = 50
/** After this time the load balancer sends new connections elsewhere: it asks once a second, and twice before it acts. */
const UNREADY_NOTICED_MS = 2_500

interface LoopSample {
  /** Time since the sample before. */
  intervalMs: number
  /** How much later than planned the timer ran. */
  delayMs: number
  /** Part of the interval in which the event loop did not wait for input, 0 to 1. */
  utilization: number
}

/**
 * @name OverloadDetector
 * @category Gateway
 * @summary Tells from the event loop whether this router has more work than processor time.
 *
 * @description
 * Answers the load of one caller whose requests all reach one router: one turn of the event loop takes seconds, in
 * which no connection is accepted, while the routers next to it are idle. A router that says it is not ready gets no
 * new connections. Calls beyond what a turn can take are refused as not run, so that a retry finds a router with time;
 * once the load balancer has noticed, these answers close their connections, so that as many callers stay as can be
 * served.
 *
 * @example
 * const detector = new OverloadDetector()
 * detector.addSample({ intervalMs: 1_300, delayMs: 1_200, utilization: 1 }, performance.now()) // true: the state changed
 * detector.isOverloaded // true
 */
export class OverloadDetector {
  readonly #samples: Array<{ atMs: number, lateMs: number }> = []
  #sinceMs: number | undefined
  #isBusy = false

  get isOverloaded (): boolean {
    return this.#sinceMs !== undefined
  }

  /** Whether callers that connect again reach another router. */
  isOutOfRotation (nowMs: number): boolean {
    return this.#sinceMs !== undefined && nowMs - this.#sinceMs > UNREADY_NOTICED_MS
  }

  /** Whether a new call should go to another router at once, given how late the next sample is by now. */
  isShedding (lateMs: number): boolean {
    return this.#isBusy && lateMs > SHED_LATE_MS
  }

  /** Returns whether the state changed. */
  addSample ({ intervalMs, delayMs, utilization }: LoopSample, nowMs: number): boolean {
    this.#isBusy = utilization > BUSY_UTILIZATION
    const isLate = this.#isBusy && delayMs > LATE_MS
    this.#samples.push({ atMs: nowMs, lateMs: isLate ? intervalMs : 0 })
    while (nowMs - this.#samples[0].atMs > WINDOW_MS) this.#samples.shift()
    const lateMs = this.#samples.reduce((sum, sample) => sum + sample.lateMs, 0)
    const before = this.isOverloaded
    const isOverloaded = lateMs > (before ? RECOVERY_MS : OVERLOAD_MS)
    if (isOverloaded !== before) this.#sinceMs = isOverloaded ? nowMs : undefined
    return isOverloaded !== before
  }
}
