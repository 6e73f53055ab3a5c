import { runUntilSignal } from '.'

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const

describe('runUntilSignal', () => {
  afterEach(() => { for (const signal of SIGNALS) process.removeAllListeners(signal) })

  // Guards against requests that are cut off because a signal, such as the hang-up of the terminal, has its default action
  // before or during the graceful stop.
  it.each(SIGNALS)('stops gracefully at %s and ignores signals during the stop', async first => {
    let finish!: () => void
    let stops = 0
    const running = runUntilSignal(() => {
      stops++
      return new Promise<void>(resolve => { finish = resolve })
    })
    expect(process.emit(first, first)).toBe(true)
    await Promise.resolve()
    for (const signal of SIGNALS) expect(process.emit(signal, signal)).toBe(true)
    expect(stops).toBe(1)
    finish()
    await running
  })
})
