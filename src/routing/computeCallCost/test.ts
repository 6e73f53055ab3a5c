import { computeCallCost } from '.'

describe('computeCallCost', () => {
  it('counts the prefill time and the time that the context adds to generation', () => {
    expect(computeCallCost({ readMs: 60, promptTokens: 17_000, outputTokens: 120 })).toBeCloseTo(122.6, 0)
    expect(computeCallCost({ readMs: 10, promptTokens: 1_000, outputTokens: 170 })).toBeLessThan(30)
  })
})
