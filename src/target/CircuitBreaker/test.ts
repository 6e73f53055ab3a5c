import { CircuitBreaker } from '.'

describe('CircuitBreaker', () => {
  it('lets one probe through after the open time, so that a dead target costs one request in two seconds', () => {
    const breaker = new CircuitBreaker()
    for (let i = 0; i < 3; i++) breaker.recordFailure('t', 1_000)
    expect(breaker.tryAcquire('t', 2_999)).toBe(false)
    expect([breaker.tryAcquire('t', 3_000), breaker.tryAcquire('t', 3_000)]).toEqual([true, false])
    breaker.recordFailure('t', 3_100)
    expect(breaker.tryAcquire('t', 4_000)).toBe(false)
    expect(breaker.tryAcquire('t', 5_100)).toBe(true)
    breaker.releaseProbe('t')
    expect(breaker.tryAcquire('t', 5_100)).toBe(true)
    breaker.recordSuccess('t')
    expect([breaker.tryAcquire('t', 5_101), breaker.tryAcquire('t', 5_101)]).toEqual([true, true])
  })
})
