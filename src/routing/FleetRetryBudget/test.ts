import { FleetRetryBudget } from '.'

describe('FleetRetryBudget', () => {
  // Guards against retry amplification: the retries of many routers multiply the load on failing targets.
  it('keeps the retries of nine routers within the bounds of the fleet', () => {
    const bounds = { ratio: 0.2, extra: 58, windowS: 10 }
    const budgets = Array.from({ length: 9 }, () => new FleetRetryBudget(bounds))
    let requests = 0
    let retries = 0
    for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
      for (const budget of budgets) {
        budget.recordRequest('s', nowMs)
        requests++
        if (budget.tryTake('s', { routers: 9, nowMs })) retries++
      }
    }
    expect(retries).toBeLessThanOrEqual(0.2 * requests + 58)
    expect(retries).toBeGreaterThan(0.1 * requests)
  })

  it('allows retries again once the window has passed', () => {
    const budget = new FleetRetryBudget({ ratio: 0, extra: 10, windowS: 1 })
    const take = (nowMs: number) => budget.tryTake('s', { routers: 5, nowMs })
    expect([take(0), take(1), take(1_500)]).toEqual([true, false, true])
  })
})
