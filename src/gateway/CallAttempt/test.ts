import type { ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import { plainCodecs } from '../../../test/_lib/plainCodecs'
import { ResponseWriter } from '../ResponseWriter'
import { BufferBudget } from '../BufferBudget'
import { WriteBatcher } from '../WriteBatcher'
import { CallAttempt } from '.'

/** A stream of a target whose events a busy router passes on to a caller that records them. */
function startStream () {
  const written: string[] = []
  const response = { headersSent: false, writeHead () { response.headersSent = true }, write: (bytes: Buffer) => written.push(bytes.toString()), end: () => written.push('end') }
  const batcher = new WriteBatcher({ isBusy: () => true })
  const writer = new ResponseWriter(response as unknown as ServerResponse)
  const attempt = new CallAttempt({ codec: plainCodecs.calls, callId: '7', target: 't1', isStream: true, resumedEventId: undefined, writer, batcher, budget: new BufferBudget({ maxBytes: 1024 }), onHead: () => {}, onProgress: () => {} })
  const controller = { abort () {}, pause () {}, resume () {} } as unknown as Dispatcher.DispatchController
  attempt.exchange.onRequestStart(controller)
  attempt.exchange.onResponseStart(controller, 200, { 'call-id': '7', signature: 's', 'transfer-encoding': 'chunked' })
  const send = (text: string): void => attempt.exchange.onResponseData(controller, Buffer.from(text))
  return { written, attempt, batcher, controller, send }
}

/** A call that must not be repeated, at a target that has not answered. */
function startSilent () {
  const response = { headersSent: false } as unknown as ServerResponse
  const attempt = new CallAttempt({ codec: plainCodecs.calls, callId: '7', target: 't1', isStream: false, resumedEventId: undefined, writer: new ResponseWriter(response), batcher: new WriteBatcher({ isBusy: () => false }), budget: new BufferBudget({ maxBytes: 1024 }), onHead: () => {}, onProgress: () => {} })
  const aborts: Error[] = []
  const controller = { abort: (error: Error) => { aborts.push(error) }, pause () {}, resume () {} } as unknown as Dispatcher.DispatchController
  return { attempt, controller, aborts }
}

describe('CallAttempt whose caller has left', () => {
  beforeEach(() => { jest.useFakeTimers() })
  afterEach(() => { jest.useRealTimers() })

  // Guards against calls that wait for a connection and run at a target long after their callers have left.
  it('is withdrawn if it has not been sent', async () => {
    const { attempt, controller, aborts } = startSilent()
    attempt.detach({ maxMs: 1_000 })
    expect(await attempt.result).toEqual({ type: 'left' })
    attempt.exchange.onRequestStart(controller)
    expect([aborts.length, attempt.exchange.isSent]).toEqual([1, false])
  })

  // Guards against targets that never answer and so take all connections of a router for good.
  it('gives its connection back after a bounded time if it was sent', async () => {
    const { attempt, controller, aborts } = startSilent()
    attempt.exchange.onRequestStart(controller)
    attempt.detach({ maxMs: 1_000 })
    expect(await attempt.result).toEqual({ type: 'left' })
    jest.advanceTimersByTime(999)
    expect(aborts).toHaveLength(0)
    jest.advanceTimersByTime(1)
    expect(aborts).toHaveLength(1)
  })

  // Guards against a connection that is closed although its target has answered and it serves another call.
  it('keeps the connection of a target that answers in that time', () => {
    const { attempt, controller, aborts } = startSilent()
    attempt.exchange.onRequestStart(controller)
    attempt.detach({ maxMs: 1_000 })
    attempt.exchange.onResponseStart(controller, 200, { 'call-id': '7', signature: 's' })
    attempt.exchange.onResponseEnd()
    jest.advanceTimersByTime(5_000)
    expect(aborts).toHaveLength(0)
  })
})

describe('CallAttempt in a busy router', () => {
  it('sends the first event at once and those after it with one write', () => {
    const { written, batcher, send } = startStream()
    send('id: 1\ndata: a\n\n')
    send('id: 2\ndata: b\n\n')
    send('id: 3\ndata: c\n\n')
    expect(written).toEqual(['id: 1\ndata: a\n\n'])
    batcher.close()
    expect(written[1]).toBe('id: 2\ndata: b\n\nid: 3\ndata: c\n\n')
  })

  // Guards against a stream that is complete for the router but lacks its last events for the caller.
  it('sends delayed events before the end of the stream', async () => {
    const { written, attempt, send } = startStream()
    send('id: 1\ndata: a\n\n')
    send('id: 2\ndata: b\n\n')
    attempt.exchange.onResponseEnd()
    expect(await attempt.result).toEqual({ type: 'answered' })
    expect(written).toEqual(['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'end'])
  })

  // Guards against a gap: the stream is resumed at another target after the last event that this router has read.
  it('sends delayed events before it reports after which event the stream broke off', async () => {
    const { written, attempt, controller, send } = startStream()
    send('id: 1\ndata: a\n\n')
    send('id: 2\ndata: b\n\nid: 3')
    attempt.exchange.onResponseError(controller, new Error('reset'))
    expect(await attempt.result).toEqual({ type: 'lost', target: 't1', isStarted: true, lastEventId: '2' })
    expect(written).toEqual(['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'])
  })

  it('sends nothing to a caller that has left', async () => {
    const { written, attempt, batcher, send } = startStream()
    send('id: 1\ndata: a\n\n')
    send('id: 2\ndata: b\n\n')
    attempt.cancel('left')
    batcher.close()
    expect(await attempt.result).toEqual({ type: 'left' })
    expect(written).toEqual(['id: 1\ndata: a\n\n'])
  })
})

describe('CallAttempt with a memory limit', () => {
  /** Starts an attempt whose response is sent to a caller that does not read it. */
  function startBuffered (budget: BufferBudget) {
    const state = { isAborted: false }
    const response = { headersSent: false, chunkedEncoding: true, req: { method: 'GET' }, writeHead () { response.headersSent = true }, write: () => false, end: () => {}, destroy: () => { state.isAborted = true } }
    const writer = new ResponseWriter(response as unknown as ServerResponse)
    const batcher = new WriteBatcher({ isBusy: () => false })
    const attempt = new CallAttempt({ codec: plainCodecs.calls, callId: '7', target: 't1', isStream: false, resumedEventId: undefined, writer, batcher, budget, onHead: () => {}, onProgress: () => {} })
    const controller = { abort () {}, pause () {}, resume () {} } as unknown as Dispatcher.DispatchController
    attempt.exchange.onRequestStart(controller)
    attempt.exchange.onResponseStart(controller, 200, { 'call-id': '7', signature: 's' })
    return { state, attempt, send: (bytes: number) => attempt.exchange.onResponseData(controller, Buffer.alloc(bytes)) }
  }

  // Guards against a router that runs out of memory because it forgets a response once it has begun to send it.
  it('counts a response until its caller has it, and ends the largest one', async () => {
    const budget = new BufferBudget({ maxBytes: 5_000 })
    const slow = startBuffered(budget)
    slow.send(3_500)
    slow.attempt.exchange.onResponseEnd()
    expect(await slow.attempt.result).toEqual({ type: 'answered' })
    const next = startBuffered(budget)
    next.send(1_000)
    expect([budget.totalBytes, slow.state.isAborted]).toEqual([4_524, false])
    next.send(1_000)
    expect([slow.state.isAborted, next.state.isAborted]).toEqual([true, false])
    next.attempt.release()
    expect(budget.totalBytes).toBe(0)
  })

  // Guards against work for a caller that has left, without end.
  it('reads nothing into memory for a caller that has left, and closes the connection at the limit of a response', async () => {
    const budget = new BufferBudget({ maxBytes: 4_000 })
    const left = startBuffered(budget)
    left.attempt.detach({ maxMs: 1_000 })
    for (let i = 0; i < 40; i++) left.send(1024 * 1024)
    expect([budget.totalBytes, budget.evictions]).toEqual([0, 0])
    expect(await left.attempt.result).toEqual({ type: 'left' })
  })
})
