import { timing } from '../timing'

interface TickTimerOptions {
  run: () => void
  /** Called with the delay beyond the due time when a tick was late. */
  onLate?: (delayMs: number) => void
}

/** Timer for the ticks of a replica, which measures how late they are. */
export class TickTimer {
  readonly #options: TickTimerOptions
  #timer: NodeJS.Timeout | undefined
  /** Time of the monotonic clock at which the timer should fire; infinite if no delay is left to observe. */
  #expectedMs = Infinity
  #longestDelayMs = 0

  constructor (options: TickTimerOptions) {
    this.#options = options
  }

  /** Longest delay of a tick beyond its due time. */
  get longestDelayMs (): number {
    return this.#longestDelayMs
  }

  /**
   * Runs the next tick at a time of the monotonic clock, instead of the one that is scheduled. After a stall this may be
   * called before the overdue timer could fire, so the delay is observed here too.
   */
  schedule (dueMs: number): void {
    this.#observeDelay()
    this.clear()
    const delayMs = Math.max(1, Math.ceil(dueMs - performance.now()))
    this.#expectedMs = performance.now() + delayMs
    this.#timer = setTimeout(() => {
      this.#observeDelay()
      this.#options.run()
    }, delayMs)
  }

  clear (): void {
    clearTimeout(this.#timer)
    this.#expectedMs = Infinity
  }

  #observeDelay (): void {
    const delayMs = performance.now() - this.#expectedMs
    this.#expectedMs = Infinity
    this.#longestDelayMs = Math.max(this.#longestDelayMs, delayMs)
    if (delayMs > timing.lateTickMs) this.#options.onLate?.(delayMs)
  }
}
