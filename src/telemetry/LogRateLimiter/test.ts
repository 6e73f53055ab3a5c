import { LogRateLimiter } from '.'

const takeAll = (budget: LogRateLimiter, level: string, count: number, nowMs: number) => Array.from({ length: count }, () => budget.tryTake(level, nowMs)).filter(Boolean).length

describe('LogRateLimiter', () => {
  // Guards against logs that take up the process under load.
  it('lets a number of lines a second through and counts the others', () => {
    const budget = new LogRateLimiter({ maxLinesPerS: 3 })
    expect(takeAll(budget, 'info', 10, 0)).toBe(3)
    expect(takeAll(budget, 'info', 2, 999)).toBe(0)
    expect([budget.takeRefused(), budget.takeRefused()]).toEqual([9, 0])
    expect(takeAll(budget, 'info', 10, 1_000)).toBe(3)
  })

  // Guards against a warning that is lost among the lines of requests, as that of an overloaded router was.
  it('keeps a rate for warnings and errors', () => {
    const budget = new LogRateLimiter({ maxLinesPerS: 2 })
    expect([takeAll(budget, 'info', 5, 0), takeAll(budget, 'warn', 1, 0), takeAll(budget, 'error', 5, 0)]).toEqual([2, 1, 1])
  })
})
