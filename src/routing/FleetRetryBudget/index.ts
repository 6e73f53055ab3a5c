import type { RetryBounds } from '../../contract/RetryBounds'

/** Share of the bounds that is used. The rest is a margin: routers and targets count requests slightly differently. */
const USABLE_SHARE = 0.7

/**
 * @name FleetRetryBudget
 * @category Routing
 * @summary This router's share of the retries that the whole fleet may send to a service.
 *
 * @description
 * In each window a router may retry `ratio` of its own requests, plus an equal share of `extra`. This keeps the whole
 * fleet within the bounds without messages between routers. Times are milliseconds of a monotonic clock.
 *
 * @param bounds - Bounds of the whole fleet.
 *
 * @example
 * budget.recordRequest('s', nowMs)
 * if (budget.tryTake('s', { routers: 9, nowMs })) retry()
 */
export class FleetRetryBudget {
  readonly #bounds: RetryBounds
  readonly #services = new Map<string, { requests: number[], retries: number[] }>()

  constructor (bounds: RetryBounds) {
    this.#bounds = bounds
  }

  recordRequest (service: string, nowMs: number): void {
    const { requests } = this.#getWindow(service)
    requests.push(nowMs)
    removeBefore(requests, nowMs - this.#bounds.windowS * 1_000)
  }

  /** Takes one retry from the budget. Returns false if none is left in the window. */
  tryTake (service: string, { routers, nowMs }: { routers: number, nowMs: number }): boolean {
    const { ratio, extra, windowS } = this.#bounds
    const sinceMs = nowMs - windowS * 1_000
    const { requests, retries } = this.#getWindow(service)
    removeBefore(requests, sinceMs)
    removeBefore(retries, sinceMs)
    const limit = USABLE_SHARE * (ratio * requests.length + extra / routers)
    if (retries.length + 1 > limit) return false
    retries.push(nowMs)
    return true
  }

  #getWindow (service: string): { requests: number[], retries: number[] } {
    let window = this.#services.get(service)
    if (!window) {
      window = { requests: [], retries: [] }
      this.#services.set(service, window)
    }
    return window
  }
}

function removeBefore (times: number[], sinceMs: number): void {
  let count = 0
  while (count < times.length && times[count] < sinceMs) count++
  if (count > 0) times.splice(0, count)
}
