interface LoopClockOptions {
  /** Milliseconds of a monotonic clock. */
  now: () => number
  /** Total time that the event loop has waited for events, in milliseconds. */
  getIdleMs: () => number
  /** Number of iterations of the event loop so far. */
  countIterations: () => number
  /** Calls back when the current iteration has handled its input, as setImmediate does. */
  onIterationEnd: (callback: () => void) => void
  /** Called at the end of each iteration in which a request was observed. `isBusy`: it began without a wait for input. */
  onIteration?: (durationMs: number, isBusy: boolean) => void
}

interface Delay {
  /** Upper bound of the time that the input which is handled now has waited. */
  readMs: number
  /** Typical duration of the recent iterations. */
  iterationMs: number
  /** Time since the event loop last waited for input. */
  busyMs: number
}

/** Weight of the newest iteration in the typical duration. */
const NEWEST_WEIGHT = 0.3
/** An event loop that has waited for less than this since a moment has been busy since then. */
const MIN_WAIT_MS = 0.5

/**
 * @name LoopClock
 * @category Gateway
 * @summary Measures how long input waits before this process reads it.
 *
 * @description
 * A process learns that bytes have arrived only when the event loop polls its sockets, once an iteration. Bytes that are
 * handled now arrived after the previous poll, so they have waited for this iteration and the previous one at most. Costs
 * nothing while no request arrives.
 *
 * @param options - Clocks, and the hook for the end of an iteration.
 *
 * @example
 * const clock = new LoopClock({ now: () => performance.now(), getIdleMs: () => performance.nodeTiming.idleTime, countIterations, onIterationEnd: setImmediate })
 * clock.observe() // { readMs: 0.2, iterationMs: 0.1, busyMs: 0.2 }
 */
export class LoopClock {
  readonly #options: LoopClockOptions
  #isMarked = false
  #startedAtMs = 0
  #endedAtMs = 0
  #idleAtEndMs = 0
  #countAtEnd = 0
  #busySinceMs = 0
  #previousMs = 0
  #isBusy = false
  #iterationMs = 0

  constructor (options: LoopClockOptions) {
    this.#options = options
  }

  /** Measures at the arrival of a request. */
  observe (): Delay {
    const nowMs = this.#options.now()
    if (!this.#isMarked) this.#startIteration(nowMs)
    return { readMs: nowMs - this.#startedAtMs + this.#previousMs, iterationMs: this.#iterationMs, busyMs: nowMs - this.#busySinceMs }
  }

  #startIteration (nowMs: number): void {
    this.#isMarked = true
    this.#isBusy = this.#options.getIdleMs() - this.#idleAtEndMs < MIN_WAIT_MS
    const unobserved = this.#options.countIterations() - this.#countAtEnd
    // Iterations without a request were not measured; they are taken to be equally long.
    if (this.#isBusy && unobserved > 1) this.#previousMs = (nowMs - this.#endedAtMs) / unobserved
    else if (!this.#isBusy) this.#previousMs = 0
    if (!this.#isBusy) this.#busySinceMs = nowMs
    this.#startedAtMs = this.#isBusy && unobserved <= 1 ? this.#endedAtMs : nowMs
    this.#options.onIterationEnd(() => this.#stopIteration())
  }

  #stopIteration (): void {
    this.#isMarked = false
    this.#endedAtMs = this.#options.now()
    this.#idleAtEndMs = this.#options.getIdleMs()
    this.#countAtEnd = this.#options.countIterations()
    this.#previousMs = this.#endedAtMs - this.#startedAtMs
    this.#iterationMs += NEWEST_WEIGHT * (this.#previousMs - this.#iterationMs)
    this.#options.onIteration?.(this.#previousMs, this.#isBusy)
  }
}
