import { PERMIT_TTL_MS } from '../../routing/PERMIT_TTL_MS'

/** Length of the sliding window in which the intervals of the late samples of the event loop are summed. */
const WINDOW_MS = 1_000
/** An event loop with a higher utilization is busy. A process that was paused from outside has a low utilization. */
const BUSY_UTILIZATION = 0.9
/** A sample of a busy event loop is late if its timer is delayed by more than this, or if requests were refused in it. */
const LATE_TIMER_MS = 30
/** Sum of the late intervals in the window above which the router becomes overloaded. */
const OVERLOAD_MS = 400
/** Value to which this sum has to fall before an overloaded router has recovered (hysteresis). */
const RECOVERY_MS = 200
/**
 * Time after which the load balancer has taken an unready router out of rotation: it checks readiness once a second and
 * acts after two failed checks.
 */
const OUT_OF_ROTATION_MS = 2_500
/** Shortest Retry-After of a router that is not overloaded, or that the callers no longer reach. */
const MIN_RETRY_AFTER_S = 0.05
/** An overloaded router without a permit is one of many, and stays in rotation; its load may have fallen after this time. */
const FLEET_RETRY_AFTER_MS = 500
/** Retries are spread over this time: connections that arrive at once find the queue of connections full. */
const RETRY_AFTER_SPREAD_S = 0.5
const MS_PER_S = 1_000

interface LoopSample {
  /** Time since the previous sample. */
  intervalMs: number
  /** Delay of the timer beyond its due time. */
  delayMs: number
  /** Share of the interval in which the event loop was not idle, 0 to 1. */
  utilization: number
  /** Requests that were refused in the interval because of the load of the router. */
  refusals?: number
}

/**
 * @name OverloadDetector
 * @category Gateway
 * @summary Detects from the event loop that this router has more work than processor time.
 *
 * @description
 * Handles the load of one caller whose requests all reach the same router: one iteration of the event loop takes
 * seconds, in which no connection is accepted, while the other routers are idle. A router that reports that it is not
 * ready gets no new connections; an overloaded router does so only with a permit, because all routers may be overloaded
 * at once. Once the load balancer has taken the router out of rotation, refusals should close their connections, so that
 * the router keeps only as many callers as it can serve. Refused callers are told to retry when they reach another router.
 *
 * @example
 * const detector = new OverloadDetector()
 * detector.addSample({ intervalMs: 1_300, delayMs: 1_200, utilization: 1 }, performance.now()) // true: it changed
 * detector.isOverloaded // true
 * detector.setPermit(true, performance.now())
 * detector.isLeaving(performance.now()) // true
 */
export class OverloadDetector {
  readonly #samples: Array<{ atMs: number, lateMs: number }> = []
  #isOverloaded = false
  /** When the permit to leave the rotation was first granted in this overload, and when it was last renewed. */
  #permit: { sinceMs: number, renewedAtMs: number } | undefined

  get isOverloaded (): boolean {
    return this.#isOverloaded
  }

  /** Renews or ends the permit of this router to leave the rotation. */
  setPermit (isGranted: boolean, nowMs: number): void {
    if (!isGranted || !this.#isOverloaded) this.#permit = undefined
    else this.#permit = { sinceMs: this.isLeaving(nowMs) ? this.#permit!.sinceMs : nowMs, renewedAtMs: nowMs }
  }

  /** Whether this router leaves the rotation or has left it, because it is overloaded and has a permit. */
  isLeaving (nowMs: number): boolean {
    return this.#permit !== undefined && nowMs - this.#permit.renewedAtMs <= PERMIT_TTL_MS
  }

  /** Whether the load balancer has taken this router out of rotation, so that reconnecting callers reach another one. */
  isOutOfRotation (nowMs: number): boolean {
    return this.isLeaving(nowMs) && nowMs - this.#permit!.sinceMs > OUT_OF_ROTATION_MS
  }

  /**
   * Seconds after which to retry a call that is refused now because of the load of this router. The load balancer sends the
   * retry to the same router until it has taken that out of rotation.
   */
  getRetryAfterS (nowMs: number, random: () => number): number {
    return MIN_RETRY_AFTER_S + this.#getOverloadMs(nowMs) / MS_PER_S + RETRY_AFTER_SPREAD_S * random()
  }

  /** Time for which a retry would reach an overloaded router again. */
  #getOverloadMs (nowMs: number): number {
    if (!this.#isOverloaded) return 0
    return this.isLeaving(nowMs) ? Math.max(0, this.#permit!.sinceMs + OUT_OF_ROTATION_MS - nowMs) : FLEET_RETRY_AFTER_MS
  }

  /** Adds a sample and returns whether `isOverloaded` changed. */
  addSample ({ intervalMs, delayMs, utilization, refusals = 0 }: LoopSample, nowMs: number): boolean {
    const isLate = utilization > BUSY_UTILIZATION && (delayMs > LATE_TIMER_MS || refusals > 0)
    this.#samples.push({ atMs: nowMs, lateMs: isLate ? intervalMs : 0 })
    while (nowMs - this.#samples[0].atMs > WINDOW_MS) this.#samples.shift()
    const lateMs = this.#samples.reduce((sum, sample) => sum + sample.lateMs, 0)
    const wasOverloaded = this.#isOverloaded
    this.#isOverloaded = lateMs > (wasOverloaded ? RECOVERY_MS : OVERLOAD_MS)
    if (!this.#isOverloaded) this.#permit = undefined
    return this.#isOverloaded !== wasOverloaded
  }
}
