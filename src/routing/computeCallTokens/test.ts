import { computeCallTokens } from '.'

describe('computeCallTokens', () => {
  it('counts a generated token twice', () => {
    expect(computeCallTokens({ promptTokens: 17_000, outputTokens: 120 })).toBe(17_240)
  })

  it('counts no more than the maximum', () => {
    expect(computeCallTokens({ promptTokens: 1e300, outputTokens: 1e308 }, { maxTokens: 444_000 })).toBe(444_000)
  })
})
