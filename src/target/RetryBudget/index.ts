const RETRIES_PER_REQUEST = 0.1
const BUCKET_CAPACITY = 10

/**
 * @name RetryBudget
 * @category Target
 * @summary Limits retries to a tenth of the requests, so that they can't multiply the load on failing targets.
 *
 * @description
 * A token bucket: each request adds a tenth of a retry, up to a capacity of ten. The bucket is full at the start.
 *
 * @example
 * budget.recordRequest()
 * if (budget.tryTake()) retry()
 */
export class RetryBudget {
  #availableRetries = BUCKET_CAPACITY

  recordRequest (): void {
    this.#availableRetries = Math.min(BUCKET_CAPACITY, this.#availableRetries + RETRIES_PER_REQUEST)
  }

  tryTake (): boolean {
    if (this.#availableRetries < 1) return false
    this.#availableRetries--
    return true
  }
}
