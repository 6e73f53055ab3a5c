import { runHotClient } from '.'

/** The routers of the simulation serve 83 calls a second each. */
const CAPACITY_PER_S = 83
const HOT_FROM_S = 3
const DURATION_S = 20
const WINDOW_S = 6

function computeSum (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}

describe('A client whose calls all reach one router', () => {
  // Guards against FAIR: an account that sends twice what its router can serve got less than half of what it asked for, since
  // most of its calls were refused, and their retries too, while the other routers of the zone were idle.
  it('gets half of what it asks for in any six seconds, and most of that in time', () => {
    const { hot } = runHotClient({ routers: 6, usualPerS: 60, hotPerS: 2 * CAPACITY_PER_S, hotFromMs: HOT_FROM_S * 1_000, otherPerS: 4, durationMs: DURATION_S * 1_000 })
    const windows = Array.from({ length: DURATION_S - WINDOW_S - HOT_FROM_S + 1 }, (_, i) => [HOT_FROM_S + i, HOT_FROM_S + i + WINDOW_S])
    const shares = windows.map(([from, until]) => computeSum(hot.begun.slice(from, until)) / computeSum(hot.sent.slice(from, until)))
    expect(Math.min(...shares)).toBeGreaterThan(0.5)
    expect(hot.inTime / computeSum(hot.sent)).toBeGreaterThan(0.5)
  })

  // Guards against small accounts that pay for a hot one at the same router.
  it('leaves the other accounts of its routers nearly all of their calls', () => {
    const { other } = runHotClient({ routers: 6, usualPerS: 60, hotPerS: 2 * CAPACITY_PER_S, hotFromMs: HOT_FROM_S * 1_000, otherPerS: 4, durationMs: DURATION_S * 1_000 })
    expect(other.inTime / computeSum(other.sent)).toBeGreaterThan(0.9)
  })
})
