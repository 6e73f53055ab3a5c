import { TickTimer } from '.'
import { blockEventLoop } from '../../../../test/_lib/blockEventLoop'

const TICK_MS = 10
const BUSY_MS = 400
/** Never due during a test. */
const FAR_MS = 60_000

function createTimer () {
  const delaysMs: number[] = []
  const timer = new TickTimer({ run: () => {}, onLate: delayMs => { delaysMs.push(delayMs) } })
  return { timer, delaysMs }
}

describe('TickTimer', () => {
  // Guards against a stalled replica that reports nothing: messages that arrived during the stall are handled before the
  // overdue timer fires, and each of them schedules the tick anew.
  it('reports an overdue tick once when it is scheduled again before it fires', () => {
    const { timer, delaysMs } = createTimer()
    timer.schedule(performance.now() + TICK_MS)
    blockEventLoop(BUSY_MS)
    timer.schedule(performance.now() + FAR_MS)
    timer.schedule(performance.now() + FAR_MS)
    timer.clear()
    expect(delaysMs).toHaveLength(1)
    expect(delaysMs[0]).toBeGreaterThan(BUSY_MS / 2)
    expect(timer.longestDelayMs).toBe(delaysMs[0])
  })

  it('reports no delay of a tick that is scheduled again before it is due', () => {
    const { timer, delaysMs } = createTimer()
    timer.schedule(performance.now() + FAR_MS)
    timer.schedule(performance.now() + FAR_MS)
    timer.clear()
    expect(delaysMs).toEqual([])
    expect(timer.longestDelayMs).toBe(0)
  })

  it('reports the delay of a tick that fires late', async () => {
    const delaysMs: number[] = []
    await new Promise<void>(resolve => {
      const timer = new TickTimer({ run: resolve, onLate: delayMs => { delaysMs.push(delayMs) } })
      timer.schedule(performance.now() + TICK_MS)
      blockEventLoop(BUSY_MS)
    })
    expect(delaysMs).toHaveLength(1)
    expect(delaysMs[0]).toBeGreaterThan(BUSY_MS / 2)
  })
})
