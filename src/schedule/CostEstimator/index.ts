const SMOOTHING = 0.2
const MAX_RATIO = 1_000

/**
 * @name CostEstimator
 * @category Schedule
 * @summary Estimates the cost of a request from a hint and from what earlier requests cost.
 *
 * @description
 * Keeps a moving average of (actual cost / hint) for each account, so that hints that are wrong by a constant factor
 * are corrected. One estimator serves one service.
 *
 * @example
 * const estimator = new CostEstimator()
 * estimator.observe('quotes', { hint: 100, cost: 1000 })
 * estimator.compute('quotes', 100) // between 100 and 1000
 */
export class CostEstimator {
  readonly #ratios = new Map<string, number>()

  compute (account: string, hint: number): number {
    return hint * (this.#ratios.get(account) ?? 1)
  }

  observe (account: string, sample: { hint: number, cost: number }): void {
    if (!(sample.hint > 0) || !(sample.cost >= 0)) return
    const ratio = Math.min(Math.max(sample.cost / sample.hint, 1 / MAX_RATIO), MAX_RATIO)
    const before = this.#ratios.get(account)
    this.#ratios.set(account, before === undefined ? ratio : before + SMOOTHING * (ratio - before))
  }
}
