import { AcceptClock } from '../../../gateway/AcceptClock'
import { CallAdmission } from '../../../gateway/CallAdmission'
import { LoopClock } from '../../../gateway/LoopClock'
import { OverloadDetector } from '../../../gateway/OverloadDetector'
import { RouterLoadLog } from '../../../gateway/RouterLoadLog'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'

interface EventLoopMonitorOptions {
  /** Most connections that the operating system keeps for the listener. */
  backlog: number
  /** Called when the router has become overloaded, and needs a permit to leave the rotation. */
  onOverloaded: () => void
}

const SAMPLE_INTERVAL_MS = 50
/** An event loop with a higher utilization has little time left. */
const BUSY_UTILIZATION = 0.6

/**
 * Samples the delay and the utilization of the event loop while requests and readiness checks arrive, so that an idle
 * process is not woken.
 */
export class EventLoopMonitor {
  readonly admission = new CallAdmission()
  readonly #clock = new LoopClock({
    now: () => performance.now(),
    getIdleMs: () => performance.nodeTiming.idleTime,
    countIterations,
    onIterationEnd: callback => { setImmediate(callback) },
    onIteration: (durationMs, isBusy) => this.admission.addIteration(durationMs, { isBusy })
  })

  readonly acceptClock: AcceptClock
  readonly loadLog: RouterLoadLog
  readonly #detector = new OverloadDetector()
  readonly #logger: ComponentLogger
  readonly #onOverloaded: () => void
  #utilization = performance.eventLoopUtilization()
  #sampledAtMs = 0
  #timer: NodeJS.Timeout | undefined
  #arrivals = 0
  #refusals = 0
  #isBusy = false
  #overloads = 0
  #longestIterationMs = 0

  constructor (logger: ComponentLogger, { backlog, onOverloaded }: EventLoopMonitorOptions) {
    this.#logger = logger
    this.#onOverloaded = onOverloaded
    this.acceptClock = new AcceptClock({ now: () => performance.now(), countIterations, backlog })
    this.loadLog = new RouterLoadLog({ logger, now: () => performance.now(), countIterations, getIdleMs: () => performance.nodeTiming.idleTime })
  }

  get isOverloaded (): boolean {
    return this.#detector.isOverloaded
  }

  /** Whether the event loop had little time left in the newest sample. */
  get isBusy (): boolean {
    return this.#isBusy && this.#timer !== undefined
  }

  /** How often the router became overloaded. */
  get overloads (): number {
    return this.#overloads
  }

  /** Duration of the longest event loop iteration while requests arrived, accurate to the interval of the samples. */
  get longestIterationMs (): number {
    return this.#longestIterationMs
  }

  /** Whether the router leaves the rotation or has left it, because it is overloaded and has a permit. */
  get isLeaving (): boolean {
    return this.#detector.isLeaving(performance.now())
  }

  /** Whether the router is out of rotation, so that callers which reconnect reach another router. */
  get isOutOfRotation (): boolean {
    return this.#detector.isOutOfRotation(performance.now())
  }

  /** Seconds after which to retry a call that is refused now because of the load of this router. */
  get retryAfterS (): number {
    return this.#detector.getRetryAfterS(performance.now(), Math.random)
  }

  /** Renews or ends the permit of this router to leave the rotation. */
  setPermit (isGranted: boolean): void {
    this.#detector.setPermit(isGranted, performance.now())
  }

  /** Samples the event loop from now on, until no request arrives any more. */
  watch (): void {
    this.#arrivals++
    if (!this.#timer) this.#startSamples()
  }

  /** Records that a request was refused because of the load of this router. */
  recordRefusal (): void {
    this.#refusals++
  }

  /** Measures how long a request that is read now has waited. */
  observe (): ReturnType<LoopClock['observe']> {
    this.watch()
    return this.#clock.observe()
  }

  close (): void {
    clearTimeout(this.#timer)
  }

  #startSamples (): void {
    this.#sampledAtMs = performance.now()
    this.#utilization = performance.eventLoopUtilization()
    this.#scheduleSample()
  }

  #scheduleSample (): void {
    this.#timer = setTimeout(() => {
      this.#addSample()
      const isNeeded = this.#arrivals > 0 || this.isOverloaded
      this.#arrivals = 0
      this.#timer = undefined
      if (isNeeded) this.#scheduleSample()
    }, SAMPLE_INTERVAL_MS).unref()
  }

  #addSample (): void {
    const nowMs = performance.now()
    const intervalMs = nowMs - this.#sampledAtMs
    this.#sampledAtMs = nowMs
    const newest = performance.eventLoopUtilization()
    const { utilization } = performance.eventLoopUtilization(newest, this.#utilization)
    this.#utilization = newest
    this.#longestIterationMs = Math.max(this.#longestIterationMs, intervalMs - SAMPLE_INTERVAL_MS)
    this.#isBusy = utilization > BUSY_UTILIZATION
    const refusals = this.#refusals
    this.#refusals = 0
    if (!this.#detector.addSample({ intervalMs, delayMs: intervalMs - SAMPLE_INTERVAL_MS, utilization, refusals }, nowMs)) return
    if (!this.#detector.isOverloaded) return this.#logger.warn('The router is no longer overloaded.')
    this.#overloads++
    this.#logger.error('The router is overloaded; it asks to leave the rotation.', { turnMs: Math.round(intervalMs) })
    this.#onOverloaded()
  }
}

function countIterations (): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount
}
