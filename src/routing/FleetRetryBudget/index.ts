import type { RetryBounds } from '../../contract/RetryBounds'

/** Kept back for requests that the routers count a little differently from the targets. */
const USED_SHARE = 0.7

/**
 * @name FleetRetryBudget
 * @category Routing
 * @summary This router's part of the repeats that the whole fleet may send to a service.
 *
 * @description
 * Each router may repeat `ratio` of its own requests of the window, and an even part of `extra`. So the sum over all
 * routers stays within the bounds without messages. Times are milliseconds of a monotonic clock.
 *
 * @param bounds - Bounds of the whole fleet.
 *
 * @example
 * budget.recordRequest('s', nowMs)
 * if (budget.tryTake('s', { routers: 9, nowMs })) repeat()
 */
export class FleetRetryBudget {
  readonly #bounds: RetryBounds
  readonly #services = new Map<string, { requests: number[], repeats: number[] }>()

  constructor (bounds: RetryBounds) {
    this.#bounds = bounds
  }

  recordRequest (service: string, nowMs: number): void {
    const { requests } = this.#getWindow(service)
    requests.push(nowMs)
    removeBefore(requests, nowMs - this.#bounds.windowS * 1_000)
  }

  tryTake (service: string, { routers, nowMs }: { routers: number, nowMs: number }): boolean {
    const { ratio, extra, windowS } = this.#bounds
    const sinceMs = nowMs - windowS * 1_000
    const { requests, repeats } = this.#getWindow(service)
    removeBefore(requests, sinceMs)
    removeBefore(repeats, sinceMs)
    const limit = USED_SHARE * (ratio * requests.length + extra / routers)
    if (repeats.length + 1 > limit) return false
    repeats.push(nowMs)
    return true
  }

  #getWindow (service: string): { requests: number[], repeats: number[] } {
    let window = this.#services.get(service)
    if (!window) {
      window = { requests: [], repeats: [] }
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
