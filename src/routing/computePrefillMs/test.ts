import { computePrefillMs } from '.'

describe('computePrefillMs', () => {
  it('grows with the tokens to prefill and with the context before them', () => {
    expect(computePrefillMs(0, 10_000)).toBe(0)
    expect(computePrefillMs(8_000, 0)).toBeCloseTo(114.4)
    expect(computePrefillMs(4_000, 13_000)).toBeGreaterThan(computePrefillMs(4_000, 0))
    expect(computePrefillMs(4_000, 13_000)).toBeLessThan(computePrefillMs(17_000, 0))
  })
})
