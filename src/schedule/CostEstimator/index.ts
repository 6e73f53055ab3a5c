const SMOOTHING_FACTOR = 0.1

interface MovingAverages {
  hint: number
  cost: number
}

/**
 * @name CostEstimator
 * @category Schedule
 * @summary Estimates the cost of a request from a hint and the costs of earlier requests.
 *
 * @description
 * Keeps exponential moving averages of the hints and the costs of each account. The ratio of the averages corrects a
 * hint, which makes up for hints that are wrong by a constant factor. Averages of single ratios would be biased, because
 * a hint may belong to another request of the account than the one that ran. One estimator serves one service.
 *
 * @example
 * const estimator = new CostEstimator()
 * estimator.observe('quotes', { hint: 100, cost: 1000 })
 * estimator.compute('quotes', 50) // 500
 */
export class CostEstimator {
  readonly #averages = new Map<string, MovingAverages>()

  /** Without a hint, the estimate is the average cost. Before the first sample, it is the hint, or 1 without a hint. */
  compute (account: string, hint: number | undefined): number {
    const averages = this.#averages.get(account)
    if (!averages) return hint ?? 1
    return hint === undefined || averages.hint === 0 ? averages.cost : hint * averages.cost / averages.hint
  }

  /** A sample without a hint sets the average cost of an account that has no samples yet; otherwise it is ignored. */
  observe (account: string, sample: { hint?: number, cost: number }): void {
    if (!(sample.cost >= 0)) return
    const averages = this.#averages.get(account)
    if (!averages) {
      this.#averages.set(account, { hint: sample.hint ?? 0, cost: sample.cost })
      return
    }
    if (sample.hint === undefined) return
    if (averages.hint === 0) Object.assign(averages, { hint: sample.hint, cost: sample.cost })
    averages.hint += SMOOTHING_FACTOR * (sample.hint - averages.hint)
    averages.cost += SMOOTHING_FACTOR * (sample.cost - averages.cost)
  }
}
