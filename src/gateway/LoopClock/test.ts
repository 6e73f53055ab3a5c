import { LoopClock } from '.'

/** A clock whose time, waits and iterations the test controls. */
function createClock () {
  const state = { nowMs: 1_000, idleMs: 0, iterations: 0, end: () => {} }
  const iterations: Array<[number, boolean]> = []
  const clock = new LoopClock({ now: () => state.nowMs, getIdleMs: () => state.idleMs, countIterations: () => state.iterations, onIterationEnd: callback => { state.end = callback }, onIteration: (durationMs, isBusy) => iterations.push([durationMs, isBusy]) })
  const work = (ms: number): void => { state.nowMs += ms }
  const idle = (ms: number): void => {
    state.nowMs += ms
    state.idleMs += ms
  }
  /** Ends the current iteration; the next one may be without requests. */
  const end = (): void => {
    state.end()
    state.end = () => {}
    state.iterations++
  }
  return { clock, iterations, work, idle, end }
}

describe('LoopClock', () => {
  it('reports no delay for a request that ends a wait of the event loop', () => {
    const { clock, idle, end, work } = createClock()
    idle(50)
    expect(clock.observe()).toEqual({ readMs: 0, iterationMs: 0, busyMs: 0 })
    work(2)
    end()
    idle(50)
    expect(clock.observe().readMs).toBe(0)
  })

  // Guards against a request that is taken for new although it has waited for hundreds of others.
  it('counts the iteration that a request waited for, and the previous one', () => {
    const { clock, idle, end, work, iterations } = createClock()
    idle(50)
    clock.observe()
    work(300)
    expect(clock.observe().readMs).toBe(300)
    end()
    work(40)
    expect(clock.observe().readMs).toBe(340)
    end()
    expect(clock.observe()).toMatchObject({ readMs: 40, busyMs: 340 })
    expect(iterations).toEqual([[300, false], [40, true]])
  })

  // Guards against requests that are refused as if they had waited for seconds, because the event loop was busy for so long
  // with short iterations in which no request arrived.
  it('does not take many short iterations without requests for a long one', () => {
    const { clock, end, work } = createClock()
    clock.observe()
    end()
    for (let i = 0; i < 100; i++) {
      work(20)
      end()
    }
    expect(clock.observe().readMs).toBeLessThan(25)
  })

  it('forgets long iterations once the event loop waits again', () => {
    const { clock, idle, end, work } = createClock()
    idle(50)
    clock.observe()
    work(300)
    end()
    expect(clock.observe().iterationMs).toBeGreaterThan(50)
    end()
    for (let i = 0; i < 10; i++) {
      idle(20)
      clock.observe()
      end()
    }
    expect(clock.observe().iterationMs).toBeLessThan(5)
  })
})
