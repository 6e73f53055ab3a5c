const RETRIES_PER_REQUEST = 0.1
const MAX_SAVED_RETRIES = 10

/**
 * @name RetryBudget
 * @category Target
 * @summary Limits retries to a tenth of the requests, so that they can't multiply the load on failing targets.
 *
 * @description
 * Each request adds a tenth of a retry, up to a reserve of ten. The reserve is full at the start.
 *
 * @example
 * budget.recordRequest()
 * if (budget.tryTake()) retry()
 */
export class RetryBudget {
  #saved = MAX_SAVED_RETRIES

  recordRequest (): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + RETRIES_PER_REQUEST)
  }

  tryTake (): boolean {
    if (this.#saved < 1) return false
    this.#saved--
    return true
  }
}
