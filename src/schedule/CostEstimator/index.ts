const SMOOTHING = 0.1

interface Means {
  hint: number
  cost: number
}

/**
 * @name CostEstimator
 * @category Schedule
 * @summary Estimates the cost of a request from a hint and from what earlier requests cost.
 *
 * @description
 * Keeps moving averages of hints and of costs for each account. A hint is corrected by the ratio of the averages, so
 * that hints that are wrong by a constant factor do no harm. Averages of single ratios would be biased, because a hint
 * may belong to another request of the account than the one that ran. One estimator serves one service.
 *
 * @example
 * const estimator = new CostEstimator()
 * estimator.observe('quotes', { hint: 100, cost: 1000 })
 * estimator.compute('quotes', 50) // 500
 */
export class CostEstimator {
  readonly #means = new Map<string, Means>()

  /** Without a hint, the estimate is the average cost. */
  compute (account: string, hint: number | undefined): number {
    const means = this.#means.get(account)
    if (!means) return hint ?? 1
    return hint === undefined || means.hint === 0 ? means.cost : hint * means.cost / means.hint
  }

  /** Without a hint, only the average cost is updated. */
  observe (account: string, sample: { hint?: number, cost: number }): void {
    if (!(sample.cost >= 0)) return
    const means = this.#means.get(account)
    if (!means) {
      this.#means.set(account, { hint: sample.hint ?? 0, cost: sample.cost })
      return
    }
    if (sample.hint === undefined) return
    if (means.hint === 0) Object.assign(means, { hint: sample.hint, cost: sample.cost })
    means.hint += SMOOTHING * (sample.hint - means.hint)
    means.cost += SMOOTHING * (sample.cost - means.cost)
  }
}
