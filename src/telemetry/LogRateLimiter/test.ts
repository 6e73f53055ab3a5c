import { LogRateLimiter } from '.'

const countAdmitted = (limiter: LogRateLimiter, level: string, count: number, nowMs: number) => Array.from({ length: count }, () => limiter.tryTake(level, nowMs)).filter(Boolean).length

describe('LogRateLimiter', () => {
  // Guards against logging that uses up the CPU time of the process under load.
  it('admits a limited number of lines per second and counts the refused ones', () => {
    const limiter = new LogRateLimiter({ maxLinesPerS: 3 })
    expect(countAdmitted(limiter, 'info', 10, 0)).toBe(3)
    expect(countAdmitted(limiter, 'info', 2, 999)).toBe(0)
    expect([limiter.takeRefusedCount(), limiter.takeRefusedCount()]).toEqual([9, 0])
    expect(countAdmitted(limiter, 'info', 10, 1_000)).toBe(3)
  })

  // Guards against dropping a warning because request logs used up the limit. The warning of an overloaded router was
  // lost in this way.
  it('limits warnings and errors separately from other levels', () => {
    const limiter = new LogRateLimiter({ maxLinesPerS: 2 })
    expect([countAdmitted(limiter, 'info', 5, 0), countAdmitted(limiter, 'warn', 1, 0), countAdmitted(limiter, 'error', 5, 0)]).toEqual([2, 1, 1])
  })
})
