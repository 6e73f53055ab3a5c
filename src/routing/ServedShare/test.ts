import { ServedShare } from '.'

describe('ServedShare', () => {
  it('weighs recent verdicts more than old ones', () => {
    const share = new ServedShare()
    expect(share.get()).toBe(1)
    share.record(false, 0)
    share.record(true, 0)
    expect(share.get()).toBe(0.5)
    for (let i = 0; i < 10; i++) share.record(true, 60_000)
    expect(share.get()).toBeGreaterThan(0.99)
  })
})
