/** Weight of the newest measurement in the exponential moving average. */
const SMOOTHING_FACTOR = 0.2
const MIN_SLOWDOWN = 0.7
const MAX_SLOWDOWN = 10
/**
 * Allowance for transport and batching, which make up most of the measured time of a short prompt. It is added to the
 * measured time, and twice to the estimated time: a call that takes longer than estimated by this allowance has the
 * ratio 1.
 */
const OVERHEAD_MS = 60
/** A slow target gets few calls, and so few new measurements; its slowdown decays towards 1 with this half-life. */
const HALF_LIFE_MS = 5_000

/**
 * @name TargetSlowdowns
 * @category Routing
 * @summary Moving average of how much longer than estimated each target takes to send the first event of a call.
 *
 * @description
 * Lets the scheduler place fewer prompts at targets that take longer than estimated, because they are cold or slow. The
 * slowdown is an exponential moving average of the ratio of the measured to the estimated time until the first event,
 * both increased by the allowance. Times are milliseconds of a monotonic clock.
 *
 * @example
 * slowdowns.record('i-1', { estimatedMs: 100, measuredMs: 300 }, nowMs)
 * slowdowns.getSlowdown('i-1', nowMs) // about 1.13
 */
export class TargetSlowdowns {
  readonly #slowdowns = new Map<string, { slowdown: number, atMs: number }>()

  record (target: string, { estimatedMs, measuredMs }: { estimatedMs: number, measuredMs: number }, nowMs: number): void {
    const ratio = (measuredMs + OVERHEAD_MS) / (estimatedMs + 2 * OVERHEAD_MS)
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio))
    const previous = this.getSlowdown(target, nowMs)
    this.#slowdowns.set(target, { slowdown: previous + SMOOTHING_FACTOR * (bounded - previous), atMs: nowMs })
  }

  getSlowdown (target: string, nowMs: number): number {
    const last = this.#slowdowns.get(target)
    if (!last) return 1
    return 1 + (last.slowdown - 1) * 0.5 ** ((nowMs - last.atMs) / HALF_LIFE_MS)
  }

  removeTarget (target: string): void {
    this.#slowdowns.delete(target)
  }
}
