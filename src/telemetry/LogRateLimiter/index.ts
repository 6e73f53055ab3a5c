const WINDOW_MS = 1_000
const URGENT_LEVELS = new Set(['warn', 'error'])

/**
 * @name LogRateLimiter
 * @category Telemetry
 * @summary Limits the number of log lines per second.
 *
 * @description
 * Warnings and errors have a separate limit, so that request logs don't displace them. The limit applies before a line
 * is formatted, because formatting is most of the cost of a line. Times are milliseconds of a monotonic clock.
 *
 * @param options - `maxLinesPerS`: maximum lines per second, for warnings and errors and for other levels separately.
 *
 * @example
 * const limiter = new LogRateLimiter({ maxLinesPerS: 200 })
 * limiter.tryTake('info', performance.now()) // true
 */
export class LogRateLimiter {
  readonly #maxLinesPerS: number
  #windowStartMs = -Infinity
  /** Lines requested in the current window, including refused ones. */
  #requestedLines = { urgent: 0, other: 0 }
  #refusedLines = 0

  constructor ({ maxLinesPerS }: { maxLinesPerS: number }) {
    this.#maxLinesPerS = maxLinesPerS
  }

  /** Counts a line of this level and returns whether it may be written. */
  tryTake (level: string, nowMs: number): boolean {
    if (nowMs - this.#windowStartMs >= WINDOW_MS) {
      this.#windowStartMs = nowMs
      this.#requestedLines = { urgent: 0, other: 0 }
    }
    const isAdmitted = ++this.#requestedLines[URGENT_LEVELS.has(level) ? 'urgent' : 'other'] <= this.#maxLinesPerS
    if (!isAdmitted) this.#refusedLines++
    return isAdmitted
  }

  /** Returns the number of lines refused since the last call. */
  takeRefusedCount (): number {
    const refusedCount = this.#refusedLines
    this.#refusedLines = 0
    return refusedCount
  }
}
