import { ConcurrencyLimit } from '.'

describe('ConcurrencyLimit', () => {
  it.each([
    ['decreases when the target queues', [{ running: 4, waiting: 4, inUse: 8 }], 6],
    ['does not decrease twice for one queue that lagging reports repeat', [{ running: 4, waiting: 4, inUse: 8 }, { running: 4, waiting: 4, inUse: 8 }], 6],
    ['does not increase while slots are free', [{ running: 4, waiting: 4, inUse: 8 }, undefined, { running: 2, waiting: 0, inUse: 2 }], 6],
    ['increases when all slots are in use and nothing waits', [{ running: 4, waiting: 4, inUse: 8 }, undefined, { running: 6, waiting: 0, inUse: 6 }], 7],
    ['stays within the configured slots', [{ running: 8, waiting: 0, inUse: 8 }], 8]
  ])('%s', (_case, samples, expected) => {
    const limit = new ConcurrencyLimit({ slots: 8 })
    let nowMs = 0
    for (const sample of samples) {
      if (sample) limit.observe(nowMs, { ...sample, lagMs: 500 })
      else nowMs += 1_000
    }
    expect(limit.value).toBe(expected)
  })

  it('converges near the real limit of a target whose reports lag, so that the engine queues little', () => {
    const limit = new ConcurrencyLimit({ slots: 64 })
    const history: number[] = []
    let highest = 0
    for (let step = 0; step < 400; step++) {
      history.push(limit.value)
      const reportedLimit = history[Math.max(0, step - 5)]
      limit.observe(step * 100, { running: Math.min(reportedLimit, 16), waiting: Math.max(0, reportedLimit - 16), inUse: limit.value, lagMs: 600 })
      if (step > 200) highest = Math.max(highest, limit.value)
    }
    expect(highest).toBeLessThanOrEqual(18)
    expect(limit.value).toBeGreaterThanOrEqual(12)
  })
})
