import { AccountUsage } from '.'

describe('AccountUsage', () => {
  it('lets past use decay', () => {
    const usage = new AccountUsage()
    usage.charge('a', 100, 0)
    usage.charge('a', 100, 4_000)
    expect(usage.get('a', 4_000)).toBeCloseTo(136.8, 1)
    expect(usage.get('a', 60_000)).toBeLessThan(0.01)
    expect(usage.get('b', 0)).toBe(0)
  })
})
