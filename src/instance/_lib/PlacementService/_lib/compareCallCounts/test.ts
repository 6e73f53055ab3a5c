import { compareCallCounts } from '.'

describe('compareCallCounts', () => {
  // Guards against calls that stay counted at one router and are hidden by calls that are missing at another.
  it('sums surplus and missing calls separately, and names the router with the largest difference', () => {
    const worst = { router: 'r2', tracked: 9, reported: 2 }
    expect(compareCallCounts([{ router: 'r1', tracked: 1, reported: 6 }, worst, { router: 'r3', tracked: 4, reported: 4 }])).toEqual({ tracked: 14, reported: 12, surplus: 7, missing: 5, worst })
  })

  it('names no router without a difference', () => {
    expect(compareCallCounts([{ router: 'r1', tracked: 3, reported: 3 }])).toEqual({ tracked: 3, reported: 3, surplus: 0, missing: 0, worst: undefined })
  })
})
