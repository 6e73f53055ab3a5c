import { TargetSlowdowns } from '.'

describe('TargetSlowdowns', () => {
  // Load pattern: slow targets. Without the slowdown, prompts wait at them although other targets are free.
  it('raises the slowdown of a slow target and lets it decay to 1', () => {
    const slowdowns = new TargetSlowdowns()
    for (let i = 0; i < 20; i++) slowdowns.record('slow', { estimatedMs: 100, measuredMs: 1_000 }, i)
    for (let i = 0; i < 20; i++) slowdowns.record('usual', { estimatedMs: 100, measuredMs: 150 }, i)
    expect(slowdowns.getSlowdown('slow', 20)).toBeGreaterThan(3)
    expect(slowdowns.getSlowdown('usual', 20)).toBeCloseTo(1, 0)
    expect(slowdowns.getSlowdown('slow', 60_000)).toBeCloseTo(1, 1)
    expect(slowdowns.getSlowdown('unknown', 0)).toBe(1)
  })
})
