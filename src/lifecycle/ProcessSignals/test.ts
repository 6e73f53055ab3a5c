import { ProcessSignals } from '.'

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const

describe('ProcessSignals', () => {
  afterEach(() => { for (const signal of SIGNALS) process.removeAllListeners(signal) })

  function createSignals () {
    const stops: string[] = []
    const ignored: string[] = []
    const signals = new ProcessSignals()
    signals.onStop({ onStop: signal => stops.push(signal), onIgnore: signal => ignored.push(signal) })
    return { signals, stops, ignored }
  }

  // Guards against a signal that has its default action again during a graceful stop.
  it('stops at the first signal and still handles all signals afterwards', () => {
    const { signals, stops, ignored } = createSignals()
    const unsubscribe = signals.onReload(() => { throw new Error('Reloaded during the stop.') })
    process.emit('SIGTERM', 'SIGTERM')
    unsubscribe()
    for (const signal of SIGNALS) process.emit(signal, signal)
    expect(stops).toEqual(['SIGTERM'])
    expect(ignored).toEqual(['SIGTERM', 'SIGINT', 'SIGHUP'])
    for (const signal of SIGNALS) expect(process.listenerCount(signal)).toBe(1)
  })

  // Guards against a reload that is lost because it was requested while the process started.
  it('keeps a SIGHUP that arrives before the reload listener is set', () => {
    const { signals } = createSignals()
    process.emit('SIGHUP', 'SIGHUP')
    let reloads = 0
    const unsubscribe = signals.onReload(() => { reloads++ })
    expect(reloads).toBe(1)
    process.emit('SIGHUP', 'SIGHUP')
    expect(reloads).toBe(2)
    unsubscribe()
    process.emit('SIGHUP', 'SIGHUP')
    expect(reloads).toBe(2)
  })

  // Guards against a reload in the middle of a stop, which would open connections again.
  it('drops a kept SIGHUP when the process stops before the reload listener is set', () => {
    const { signals } = createSignals()
    process.emit('SIGHUP', 'SIGHUP')
    process.emit('SIGTERM', 'SIGTERM')
    let reloads = 0
    signals.onReload(() => { reloads++ })
    expect(reloads).toBe(0)
  })
})
