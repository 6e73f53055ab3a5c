import { computeReadMs } from '.'

describe('computeReadMs', () => {
  it('grows with the tokens to read and with the context before them', () => {
    expect(computeReadMs(0, 10_000)).toBe(0)
    expect(computeReadMs(8_000, 0)).toBeCloseTo(114.4)
    expect(computeReadMs(4_000, 13_000)).toBeGreaterThan(computeReadMs(4_000, 0))
    expect(computeReadMs(4_000, 13_000)).toBeLessThan(computeReadMs(17_000, 0))
  })
})
