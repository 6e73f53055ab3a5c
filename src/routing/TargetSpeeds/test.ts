import { TargetSpeeds } from '.'

describe('TargetSpeeds', () => {
  // Load pattern: slow targets. Without the factor, prompts wait there although others are free.
  it('learns that a target is slow, and forgets it again', () => {
    const speeds = new TargetSpeeds()
    for (let i = 0; i < 20; i++) speeds.record('slow', { estimatedMs: 100, measuredMs: 1_000 }, i)
    for (let i = 0; i < 20; i++) speeds.record('usual', { estimatedMs: 100, measuredMs: 150 }, i)
    expect(speeds.getSlowdown('slow', 20)).toBeGreaterThan(3)
    expect(speeds.getSlowdown('usual', 20)).toBeCloseTo(1, 0)
    expect(speeds.getSlowdown('slow', 60_000)).toBeCloseTo(1, 1)
    expect(speeds.getSlowdown('unknown', 0)).toBe(1)
  })
})
