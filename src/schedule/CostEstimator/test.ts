import { CostEstimator } from '.'

describe('CostEstimator', () => {
  it.each([10, 0.1])('corrects hints that are wrong by the factor %d', factor => {
    const estimator = new CostEstimator()
    for (let index = 0; index < 100; index++) {
      const cost = 50 + (index * 37) % 100
      estimator.observe('x', { hint: cost * factor, cost })
    }
    expect(estimator.compute('x', 80 * factor)).toBeCloseTo(80)
    expect(estimator.compute('y', 80)).toBe(80)
  })

  it('stays near the average when hints belong to other requests, so that charges are not inflated', () => {
    const estimator = new CostEstimator()
    for (let index = 0; index < 500; index++) estimator.observe('x', { hint: index % 2 ? 1 : 999, cost: index % 3 ? 400 : 700 })
    expect(estimator.compute('x', 500)).toBeGreaterThan(300)
    expect(estimator.compute('x', 500)).toBeLessThan(800)
  })
})
