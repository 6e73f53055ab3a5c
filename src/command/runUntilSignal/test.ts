import { waitFor } from '../../../test/_lib/waitFor'
import { runUntilSignal } from '.'

const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const

describe('runUntilSignal', () => {
  afterEach(() => {
    for (const signal of SIGNALS) process.removeAllListeners(signal)
    for (const stream of [process.stdout, process.stderr]) stream.removeAllListeners('error')
  })

  // Guards against requests that are cut off because a signal, such as the hang-up of the terminal, has its default action
  // before or during the graceful stop.
  it.each(SIGNALS)('stops gracefully at %s and ignores signals during the stop', async first => {
    let finish!: () => void
    let stops = 0
    const close = (): Promise<void> => {
      stops++
      return new Promise<void>(resolve => { finish = resolve })
    }
    const running = runUntilSignal(async () => ({ close }))
    expect(process.emit(first, first)).toBe(true)
    await waitFor('the stop to begin', () => stops > 0)
    for (const signal of SIGNALS) expect(process.emit(signal, signal)).toBe(true)
    expect(stops).toBe(1)
    finish()
    await running
  })

  // Guards against a process that a signal ends while it starts, after its listener has opened.
  it('stops a process that gets the signal before its start has ended, once it has started', async () => {
    const steps: string[] = []
    let finishStart!: () => void
    const running = runUntilSignal(async () => {
      await new Promise<void>(resolve => { finishStart = resolve })
      steps.push('started')
      return { close: async () => { steps.push('closed') } }
    })
    expect(process.emit('SIGTERM', 'SIGTERM')).toBe(true)
    finishStart()
    await running
    expect(steps).toEqual(['started', 'closed'])
  })

  // Guards against the end of a process by its first log line after the hang-up of its terminal.
  it('ignores errors of the standard streams', async () => {
    const running = runUntilSignal(async () => ({ close: async () => {} }))
    for (const stream of [process.stdout, process.stderr]) expect(stream.emit('error', new Error('write EPIPE'))).toBe(true)
    process.emit('SIGHUP', 'SIGHUP')
    await running
  })
})
