const WINDOW_MS = 1_000
const URGENT_LEVELS = new Set(['warn', 'error'])

/**
 * @name LogRateLimiter
 * @category Telemetry
 * @summary Decides which log lines may be written under load.
 *
 * @description
 * Warnings and errors have a rate of their own, so that the lines of many requests don't displace them. It decides
 * before a line is formatted, because formatting is most of what a line costs. Times are milliseconds of a monotonic
 * clock.
 *
 * @param options - Most lines in a second, for urgent levels and for the others each.
 *
 * @example
 * const budget = new LogRateLimiter({ maxLinesPerS: 200 })
 * budget.tryTake('info', performance.now()) // true
 */
export class LogRateLimiter {
  readonly #maxLinesPerS: number
  #windowStartMs = -Infinity
  #taken = { urgent: 0, other: 0 }
  #refused = 0

  constructor ({ maxLinesPerS }: { maxLinesPerS: number }) {
    this.#maxLinesPerS = maxLinesPerS
  }

  tryTake (level: string, nowMs: number): boolean {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs
      this.#taken = { urgent: 0, other: 0 }
    }
    const isTaken = ++this.#taken[URGENT_LEVELS.has(level) ? 'urgent' : 'other'] <= this.#maxLinesPerS
    if (!isTaken) this.#refused++
    return isTaken
  }

  /** Lines that were refused since the last call. */
  takeRefused (): number {
    const refused = this.#refused
    this.#refused = 0
    return refused
  }
}
