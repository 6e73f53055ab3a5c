const SMOOTHING = 0.1
const MIN_RETRY_S = 1
const MAX_RETRY_S = 60

/** Measures how fast requests of an account leave its queue. */
export class ServiceRate {
  #lastAtMs?: number
  #meanIntervalMs?: number

  observe (nowMs: number): void {
    if (this.#lastAtMs !== undefined) {
      const intervalMs = nowMs - this.#lastAtMs
      this.#meanIntervalMs = this.#meanIntervalMs === undefined ? intervalMs : this.#meanIntervalMs + SMOOTHING * (intervalMs - this.#meanIntervalMs)
    }
    this.#lastAtMs = nowMs
  }

  /** Seconds until the requests that wait now have been served. */
  computeRetryAfterS (nowMs: number, waiting: number): number {
    const sinceLastMs = this.#lastAtMs === undefined ? 0 : nowMs - this.#lastAtMs
    const intervalMs = Math.max(this.#meanIntervalMs ?? 0, sinceLastMs)
    return Math.min(Math.max(waiting * intervalMs / 1000, MIN_RETRY_S), MAX_RETRY_S)
  }
}
