import { OverloadDetector } from '.'
import { PERMIT_TTL_MS } from '../../routing/PERMIT_TTL_MS'

/** Adds a series of samples with the same timer delay; returns the time of the last one. */
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
  // Guards against a router that accepts no connection for seconds although it reports that it is ready, while other
  // routers are idle.
  it('detects event loop iterations of some 100 ms within 2 s, and their end', () => {
    const detector = new OverloadDetector()
    const busyMs = addSamples(detector, { startMs: 0, delayMs: 150, count: 5 })
    expect(busyMs).toBeLessThan(2_000)
    expect(detector.isOverloaded).toBe(true)
    addSamples(detector, { startMs: busyMs, delayMs: 2, count: 30 })
    expect(detector.isOverloaded).toBe(false)
  })

  // Guards against missing iterations longer than the window, of which the window holds at most one sample.
  it('detects an iteration of seconds at once', () => {
    const detector = new OverloadDetector()
    expect(detector.addSample({ intervalMs: 2_700, delayMs: 2_600, utilization: 1 }, 2_700)).toBe(true)
    addSamples(detector, { startMs: 2_700, delayMs: 1_500, count: 3 })
    expect(detector.isOverloaded).toBe(true)
  })

  it('does not flap while some iterations are still long', () => {
    const detector = new OverloadDetector()
    const nowMs = addSamples(detector, { startMs: 0, delayMs: 300, count: 7 })
    addSamples(detector, { startMs: nowMs, delayMs: 40, count: 50 })
    expect(detector.isOverloaded).toBe(true)
  })

  // Guards against a whole zone that is taken out of rotation after a pause of its processes.
  it('ignores pauses of the process, and a busy event loop with little timer delay', () => {
    const detector = new OverloadDetector()
    expect(detector.addSample({ intervalMs: 8_000, delayMs: 7_900, utilization: 0.01 }, 8_000)).toBe(false)
    addSamples(detector, { startMs: 8_000, delayMs: 20, count: 50 })
    expect(detector.isOverloaded).toBe(false)
  })

  // Guards against a hot router that stays in rotation because refusals keep the iterations of its event loop short.
  it('detects a busy event loop that refuses requests', () => {
    const detector = new OverloadDetector()
    for (let nowMs = 50; nowMs <= 1_200; nowMs += 50) detector.addSample({ intervalMs: 50, delayMs: 5, utilization: 1, refusals: 3 }, nowMs)
    expect(detector.isOverloaded).toBe(true)
    for (let nowMs = 1_250; nowMs <= 3_500; nowMs += 50) detector.addSample({ intervalMs: 50, delayMs: 5, utilization: 1 }, nowMs)
    expect(detector.isOverloaded).toBe(false)
  })

  // Guards against retries that come back to the same router, which is in rotation for seconds after it has become hot, and
  // that come all at once, so that they find its queue of connections full.
  it('tells callers to retry after the router has left the rotation, spread over time', () => {
    const detector = new OverloadDetector()
    const nowMs = addSamples(detector, { startMs: 0, delayMs: 300, count: 5 })
    detector.setPermit(true, nowMs)
    const [first, last] = [0, 0.99].map(random => detector.getRetryAfterS(nowMs + 500, () => random))
    expect(first).toBeGreaterThanOrEqual(2)
    expect(last - first).toBeGreaterThan(0.3)
    expect(detector.getRetryAfterS(nowMs + 3_000, () => 0)).toBeLessThan(0.2)
  })

  // Guards against callers that wait for seconds when all routers are overloaded, as after a restart, and none of them leaves.
  it('tells callers of a router without a permit to retry within a second', () => {
    const detector = new OverloadDetector()
    const nowMs = addSamples(detector, { startMs: 0, delayMs: 300, count: 5 })
    const [first, last] = [0, 0.99].map(random => detector.getRetryAfterS(nowMs, () => random))
    expect(first).toBeGreaterThanOrEqual(0.5)
    expect(last).toBeLessThan(1.1)
  })

  // Guards against a hot router that refuses calls for a second before it asks to leave the rotation.
  it('detects a router that refuses requests within half a second', () => {
    const detector = new OverloadDetector()
    for (let nowMs = 50; nowMs <= 500; nowMs += 50) detector.addSample({ intervalMs: 50, delayMs: 5, utilization: 1, refusals: 3 }, nowMs)
    expect(detector.isOverloaded).toBe(true)
  })

  // Guards against closing connections while their callers would still reconnect to the same router.
  it('reports when the load balancer has taken the router out of rotation', () => {
    const detector = new OverloadDetector()
    detector.addSample({ intervalMs: 2_000, delayMs: 1_900, utilization: 1 }, 2_000)
    for (let nowMs = 2_000; nowMs <= 4_750; nowMs += 250) detector.setPermit(true, nowMs)
    expect([detector.isOutOfRotation(3_000), detector.isOutOfRotation(4_600)]).toEqual([false, true])
  })

  // Guards against routers that all leave the rotation at once: without a permit an overloaded router stays, and with one
  // it stays away only while the permit is renewed.
  it('leaves the rotation only with a current permit, and only while it is overloaded', () => {
    const detector = new OverloadDetector()
    detector.setPermit(true, 1_000)
    expect(detector.isLeaving(1_000)).toBe(false)
    detector.addSample({ intervalMs: 2_000, delayMs: 1_900, utilization: 1 }, 2_000)
    expect([detector.isOverloaded, detector.isLeaving(2_000)]).toEqual([true, false])
    detector.setPermit(true, 2_100)
    expect([detector.isLeaving(2_200), detector.isLeaving(2_200 + PERMIT_TTL_MS)]).toEqual([true, false])
    detector.setPermit(true, 9_300)
    detector.setPermit(false, 9_500)
    expect(detector.isLeaving(9_500)).toBe(false)
    detector.setPermit(true, 9_600)
    addSamples(detector, { startMs: 9_600, delayMs: 0, count: 30 })
    expect([detector.isOverloaded, detector.isLeaving(10_000)]).toEqual([false, false])
  })

  // Guards against a hot router that stays in rotation: it reports once in two iterations of its event loop, so its permit
  // lapsed between two renewals and each lapse started the time until it is out of rotation anew.
  it('keeps its permit while iterations of 2 s delay the renewals', () => {
    const detector = new OverloadDetector()
    for (let nowMs = 2_000; nowMs <= 10_000; nowMs += 2_000) {
      detector.addSample({ intervalMs: 2_000, delayMs: 1_900, utilization: 1 }, nowMs)
      if (nowMs % 4_000 === 0) detector.setPermit(true, nowMs)
      if (nowMs >= 4_000) expect(detector.isLeaving(nowMs + 1_900)).toBe(true)
    }
    expect(detector.isOutOfRotation(10_000)).toBe(true)
  })
})
