/** Weight of the newest measurement in the exponential moving average. */
const SMOOTHING_FACTOR = 0.2
const MIN_SLOWDOWN = 0.7
const MAX_SLOWDOWN = 10
/**
 * Added to the measured time, and twice to the estimated time: the measured time of a short prompt is mostly transport
 * and batching.
 */
const OVERHEAD_MS = 60
/** A slow target gets few calls, and so few new measurements; its factor decays towards 1 with this half-life. */
const HALF_LIFE_MS = 5_000

/**
 * @name TargetSlowdowns
 * @category Routing
 * @summary Ratio of the measured to the estimated prefill time of each target.
 *
 * @description
 * Lets the scheduler place fewer prompts at cold and slow targets. The slowdown is an exponential moving average of the
 * ratio of the measured to the estimated time until the first event. Times are milliseconds of a monotonic clock.
 *
 * @example
 * slowdowns.record('i-1', { estimatedMs: 100, measuredMs: 300 }, nowMs)
 * slowdowns.getSlowdown('i-1', nowMs) // about 1.2
 */
export class TargetSlowdowns {
  readonly #factors = new Map<string, { factor: number, atMs: number }>()

  record (target: string, { estimatedMs, measuredMs }: { estimatedMs: number, measuredMs: number }, nowMs: number): void {
    const ratio = (measuredMs + OVERHEAD_MS) / (estimatedMs + 2 * OVERHEAD_MS)
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio))
    const factor = this.getSlowdown(target, nowMs)
    this.#factors.set(target, { factor: factor + SMOOTHING_FACTOR * (bounded - factor), atMs: nowMs })
  }

  getSlowdown (target: string, nowMs: number): number {
    const last = this.#factors.get(target)
    if (!last) return 1
    return 1 + (last.factor - 1) * 0.5 ** ((nowMs - last.atMs) / HALF_LIFE_MS)
  }

  removeTarget (target: string): void {
    this.#factors.delete(target)
  }
}
