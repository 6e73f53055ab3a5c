const WEIGHT = 0.2
const MIN_SLOWDOWN = 0.7
const MAX_SLOWDOWN = 10
/** Added to short estimates, whose measured time is mostly transport and batching. */
const BASE_MS = 60
/** A slow target gets little work to learn from, so its factor decays towards 1. */
const HALF_LIFE_MS = 5_000

/**
 * @name TargetSpeeds
 * @category Routing
 * @summary How many times slower than estimated each target reads prompts.
 *
 * @description
 * Answers the load patterns of cold and slow targets. An exponentially weighted mean of the ratio of the measured to
 * the estimated time until the first event. Times are milliseconds of a monotonic clock.
 *
 * @example
 * speeds.record('i-1', { estimatedMs: 100, measuredMs: 300 }, nowMs)
 * speeds.getSlowdown('i-1', nowMs) // about 1.2
 */
export class TargetSpeeds {
  readonly #factors = new Map<string, { factor: number, atMs: number }>()

  record (target: string, { estimatedMs, measuredMs }: { estimatedMs: number, measuredMs: number }, nowMs: number): void {
    const ratio = (measuredMs + BASE_MS) / (estimatedMs + 2 * BASE_MS)
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio))
    const factor = this.getSlowdown(target, nowMs)
    this.#factors.set(target, { factor: factor + WEIGHT * (bounded - factor), atMs: nowMs })
  }

  getSlowdown (target: string, nowMs: number): number {
    const known = this.#factors.get(target)
    if (!known) return 1
    return 1 + (known.factor - 1) * 0.5 ** ((nowMs - known.atMs) / HALF_LIFE_MS)
  }

  removeTarget (target: string): void {
    this.#factors.delete(target)
  }
}
