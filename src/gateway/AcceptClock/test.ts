import { Socket } from 'node:net'
import { AcceptClock } from '.'

const BACKLOG = 10

/** Accepts connections, one in each iteration of the given duration, after `skipped` iterations without any. */
function createClock () {
  const state = { nowMs: 0, iterations: 0 }
  const clock = new AcceptClock({ now: () => state.nowMs, countIterations: () => state.iterations, backlog: BACKLOG })
  const accept = ({ iterationMs, skipped = 0 }: { iterationMs: number, skipped?: number }): number => {
    state.iterations += 1 + skipped
    state.nowMs += iterationMs * (1 + skipped)
    const socket = new Socket()
    clock.observe(socket)
    const delayMs = clock.takeDelay(socket)
    expect(clock.takeDelay(socket)).toBe(0)
    return delayMs
  }
  return { accept }
}

describe('AcceptClock', () => {
  it('reports no delay while some iterations accept no connection', () => {
    const { accept } = createClock()
    for (let i = 0; i < 20; i++) expect(accept({ iterationMs: 30, skipped: 1 })).toBe(0)
  })

  // Guards against requests that wait for seconds where a router with short iterations does not see it: at a hot router
  // callers had left before their connections were accepted, and their requests were served all the same.
  it('reports the time since the last iteration without a connection, up to a full backlog', () => {
    const { accept } = createClock()
    accept({ iterationMs: 20, skipped: 1 })
    const delays = Array.from({ length: 30 }, () => accept({ iterationMs: 20 }))
    expect(delays.slice(0, 3)).toEqual([20, 40, 60])
    expect(delays.at(-1)).toBeGreaterThan(0.9 * BACKLOG * 20)
    expect(delays.at(-1)).toBeLessThanOrEqual(BACKLOG * 20)
    expect(accept({ iterationMs: 20, skipped: 1 })).toBe(0)
  })
})
