import { OverloadDetector } from '.'

/** Lets timers run with a delay each, one after the other; returns the time at the end. */
function addDelays (detector: OverloadDetector, { startMs, delayMs, count, intervalMs = 100 }: { startMs: number, delayMs: number, count: number, intervalMs?: number }): number {
  let nowMs = startMs
  for (let i = 0; i < count; i++) {
    nowMs += intervalMs + delayMs
    detector.addDelay(delayMs, nowMs)
  }
  return nowMs
}

describe('OverloadDetector', () => {
  // Guards against a router that takes no connection for seconds although it says it is ready, while its neighbours are idle.
  it('notices a saturated event loop within 3 s, and its end', () => {
    const detector = new OverloadDetector()
    const saturatedMs = addDelays(detector, { startMs: 0, delayMs: 300, count: 7 })
    expect(saturatedMs).toBeLessThan(3_000)
    expect(detector.isOverloaded).toBe(true)
    addDelays(detector, { startMs: saturatedMs, delayMs: 2, count: 30 })
    expect(detector.isOverloaded).toBe(false)
  })

  it('does not flap while the load is between the bounds', () => {
    const detector = new OverloadDetector()
    const nowMs = addDelays(detector, { startMs: 0, delayMs: 300, count: 7 })
    addDelays(detector, { startMs: nowMs, delayMs: 30, count: 50 })
    expect(detector.isOverloaded).toBe(true)
  })

  // Guards against a whole zone that leaves rotation after a pause, a collection of garbage or a change of settings.
  it('ignores a single long delay and short ones', () => {
    const detector = new OverloadDetector()
    expect(detector.addDelay(8_000, 8_000)).toBe(false)
    addDelays(detector, { startMs: 8_000, delayMs: 20, count: 50 })
    expect(detector.isOverloaded).toBe(false)
  })
})
