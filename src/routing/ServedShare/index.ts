/** Verdicts older than about this count little. */
const MEMORY_MS = 10_000

/**
 * @name ServedShare
 * @category Routing
 * @summary Part of the recent requests that were placed and not refused.
 *
 * @description
 * Exponentially weighted. 1 while nothing is known. Times are milliseconds of a monotonic clock.
 *
 * @example
 * share.record(true, 0)
 * share.record(false, 0)
 * share.get() // 0.5
 */
export class ServedShare {
  #placed = 0
  #all = 0
  #atMs = 0

  record (isPlaced: boolean, nowMs: number): void {
    const kept = Math.exp(-(nowMs - this.#atMs) / MEMORY_MS)
    this.#atMs = nowMs
    this.#all = this.#all * kept + 1
    this.#placed = this.#placed * kept + (isPlaced ? 1 : 0)
  }

  get (): number {
    return this.#all === 0 ? 1 : this.#placed / this.#all
  }
}
