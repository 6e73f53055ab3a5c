import { computeAdmissionLimits } from '.'

const request = { objectiveMs: 620, waitedMs: 0, largePromptWaitMs: 0 }

describe('computeAdmissionLimits', () => {
  it('lets an account within its fair share use an engine as long as its prompts are in time', () => {
    expect(computeAdmissionLimits(request, { shareRatio: 0.8, coverage: 0.8 })).toEqual({ remainingMs: 500, lateWaitMs: 0, queueMs: 500, slotShare: 1 })
    expect(computeAdmissionLimits({ ...request, waitedMs: 150 }, { shareRatio: 0, coverage: 1 }).remainingMs).toBe(350)
  })

  // Guards against an account far beyond its share that fills up engines, so that no prompt of another one fits.
  it('leaves room at each engine the more an account exceeds its share, but never leaves an engine idle', () => {
    const shareRatios = [0.8, 1, 1.2, 1.5, 9]
    const limits = shareRatios.map(shareRatio => computeAdmissionLimits(request, { shareRatio, coverage: 1 }))
    expect(limits.map(({ queueMs }) => Math.round(queueMs))).toEqual([500, 400, 300, 150, 150])
    expect(limits.map(({ slotShare }) => Number(slotShare.toFixed(2)))).toEqual([1, 0.97, 0.94, 0.9, 0.9])
  })

  // Guards against an account whose prompts fit nowhere in time and are refused at each attempt.
  it('accepts late prompts of an account that is short of its share', () => {
    expect(computeAdmissionLimits(request, { shareRatio: 0.3, coverage: 0.3 })).toMatchObject({ lateWaitMs: 400, queueMs: 500 })
    expect(computeAdmissionLimits({ ...request, objectiveMs: 100 }, { shareRatio: 0.3, coverage: 0.3 })).toMatchObject({ lateWaitMs: 400, queueMs: 400 })
  })

  it('lets a large prompt wait as long as given', () => {
    expect(computeAdmissionLimits({ ...request, largePromptWaitMs: 100 }, { shareRatio: 9, coverage: 1 })).toMatchObject({ lateWaitMs: 100, queueMs: 150 })
  })
})
