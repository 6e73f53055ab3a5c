import { computeCallTokens } from '.'

describe('computeCallTokens', () => {
  it('counts a generated token twice', () => {
    expect(computeCallTokens({ promptTokens: 17_000, outputTokens: 120 })).toBe(17_240)
  })
})
