import { computeLine } from '.'

describe('computeLine', () => {
  it('finds slope, intercept and the largest residual, so that a curve is not taken for a line', () => {
    expect(computeLine([[1, 5], [2, 7], [3, 9], [4, 11]])).toEqual({ slope: 2, intercept: 3, largestResidual: 0 })
    expect(computeLine([[1, 1], [2, 4], [3, 9], [4, 16]]).largestResidual).toBeCloseTo(1 / 16)
  })
})
