import { OverloadDetector } from '.'

/** Lets timers run with a delay each, one after the other; returns the time at the end. */
function addSamples (detector: OverloadDetector, { startMs, delayMs, count, utilization = 1 }: { startMs: number, delayMs: number, count: number, utilization?: number }): number {
  const intervalMs = 100 + delayMs
  let nowMs = startMs
  for (let i = 0; i < count; i++) {
    nowMs += intervalMs
    detector.addSample({ intervalMs, delayMs, utilization }, nowMs)
  }
  return nowMs
}

describe('OverloadDetector', () => {
  // Guards against a router that takes no connection for seconds although it says it is ready, while its neighbours are idle.
  it('notices turns of the event loop of some 100 ms within 2 s, and their end', () => {
    const detector = new OverloadDetector()
    const busyMs = addSamples(detector, { startMs: 0, delayMs: 150, count: 5 })
    expect(busyMs).toBeLessThan(2_000)
    expect(detector.isOverloaded).toBe(true)
    addSamples(detector, { startMs: busyMs, delayMs: 2, count: 30 })
    expect(detector.isOverloaded).toBe(false)
  })

  // Guards against turns that are longer than the window: at most one sample is in it then.
  it('notices a turn of seconds at once', () => {
    const detector = new OverloadDetector()
    expect(detector.addSample({ intervalMs: 2_700, delayMs: 2_600, utilization: 1 }, 2_700)).toBe(true)
    addSamples(detector, { startMs: 2_700, delayMs: 1_500, count: 3 })
    expect(detector.isOverloaded).toBe(true)
  })

  it('does not flap while some turns are still long', () => {
    const detector = new OverloadDetector()
    const nowMs = addSamples(detector, { startMs: 0, delayMs: 300, count: 7 })
    addSamples(detector, { startMs: nowMs, delayMs: 40, count: 50 })
    expect(detector.isOverloaded).toBe(true)
  })

  // Guards against a whole zone that leaves rotation after a pause of its processes.
  it('ignores pauses of the process and work without delay', () => {
    const detector = new OverloadDetector()
    expect(detector.addSample({ intervalMs: 8_000, delayMs: 7_900, utilization: 0.01 }, 8_000)).toBe(false)
    addSamples(detector, { startMs: 8_000, delayMs: 20, count: 50 })
    expect(detector.isOverloaded).toBe(false)
  })

  // Guards against calls that wait unseen behind hundreds of others in one turn, and are late wherever they go then.
  it('sheds calls in a turn that takes too long, until a turn is short again', () => {
    const detector = new OverloadDetector()
    expect(detector.isShedding(500)).toBe(false)
    detector.addSample({ intervalMs: 400, delayMs: 300, utilization: 1 }, 400)
    expect([detector.isShedding(20), detector.isShedding(80)]).toEqual([false, true])
    detector.addSample({ intervalMs: 100, delayMs: 0, utilization: 0.4 }, 500)
    expect(detector.isShedding(150)).toBe(false)
  })

  // Guards against connections that are closed although their callers would come straight back.
  it('tells when the load balancer has noticed', () => {
    const detector = new OverloadDetector()
    detector.addSample({ intervalMs: 2_000, delayMs: 1_900, utilization: 1 }, 2_000)
    expect([detector.isOutOfRotation(3_000), detector.isOutOfRotation(4_600)]).toEqual([false, true])
  })
})
