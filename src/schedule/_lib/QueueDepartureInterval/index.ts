const SMOOTHING_FACTOR = 0.1
const MIN_RETRY_AFTER_S = 1
const MAX_RETRY_AFTER_S = 60

/** Exponential moving average of the interval at which requests of an account leave its queue. */
export class QueueDepartureInterval {
  #lastAtMs?: number
  #meanIntervalMs?: number

  observe (nowMs: number): void {
    if (this.#lastAtMs !== undefined) {
      const intervalMs = nowMs - this.#lastAtMs
      this.#meanIntervalMs = this.#meanIntervalMs === undefined ? intervalMs : this.#meanIntervalMs + SMOOTHING_FACTOR * (intervalMs - this.#meanIntervalMs)
    }
    this.#lastAtMs = nowMs
  }

  /** Expected seconds until the requests that wait now have left the queue, within fixed bounds. */
  computeRetryAfterS (nowMs: number, waiting: number): number {
    const sinceLastMs = this.#lastAtMs === undefined ? 0 : nowMs - this.#lastAtMs
    const intervalMs = Math.max(this.#meanIntervalMs ?? 0, sinceLastMs)
    return Math.min(Math.max(waiting * intervalMs / 1000, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
  }
}
