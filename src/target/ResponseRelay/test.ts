import { createServer, get, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { ResponseRelay } from '.'
import { AppError } from '../../contract/AppError'
import { sendError } from '../../instance/sendError'
import type { AdmissionRequest } from '../../schedule/AdmissionRequest'
import { CallDispatcher } from '../CallDispatcher'
import { InFlightRequests } from '../InFlightRequests'
import { TargetClient } from '../TargetClient'

const TOKENS = 8
const ESTIMATE = 5
const tokenEvent = (index: number) => `data: {"choices":[{"index":0,"text":"t${index} "}]}\n\n`
const USAGE = `data: {"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":${TOKENS}}}\n\n`
const closers: Array<() => Promise<unknown>> = []

async function listen (handler: (request: IncomingMessage, response: ServerResponse) => void): Promise<string> {
  const server: Server = createServer(handler)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  closers.push(() => {
    server.closeAllConnections()
    return new Promise(resolve => server.close(resolve))
  })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

async function readResumeOffset (request: IncomingMessage): Promise<number> {
  let text = ''
  for await (const chunk of request) text += chunk
  return JSON.parse(text).resume_from ?? 0
}

/** An engine that calls `end` instead of sending the token at offset `endAtToken`. */
const startEngine = (endAtToken: number, end: (response: ServerResponse) => void) => listen(async (request, response) => {
  response.setHeader('content-type', 'text/event-stream')
  for (let index = await readResumeOffset(request); index < TOKENS; index++) {
    if (index === endAtToken) return end(response)
    response.write(tokenEvent(index))
    await new Promise(resolve => setTimeout(resolve, 2))
  }
  if (endAtToken === TOKENS) return end(response)
  response.end(`${USAGE}data: [DONE]\n\n`)
})

/** Relays calls to the given targets; returns the URL for callers and the costs and results that the gate received. */
async function startRelay (urls: string[], isCompletion = true) {
  const charged: number[] = []
  const settled: Array<{ cost: number, isHealthy: boolean }> = []
  const targets = new TargetClient()
  const running = new InFlightRequests()
  closers.push(() => targets.close())
  const gate = {
    admit: async ({ excludedTargets }: AdmissionRequest) => {
      const index = urls.findIndex((_, i) => !excludedTargets?.has(`t${i}`))
      if (index === -1) throw new AppError('no-target', 'No target.')
      return { target: `t${index}`, url: urls[index], charge: (cost: number) => { charged.push(cost) }, release: (result: typeof settled[0]) => { settled.push(result) } }
    },
    countWaiting: () => 0,
    countRunning: () => 0,
    stop: async () => {}
  }
  const relay = new ResponseRelay(new CallDispatcher({ gate, targets, running, isTargetOpen: () => true }))
  const trace = { traceHeaders: {}, startHop: () => ({ stop: () => {} }) }
  const url = await listen((_request, response) => {
    const abort = new AbortController()
    response.on('close', () => { if (!response.writableFinished) abort.abort(new AppError('caller-gone', 'The caller closed the connection.')) })
    const call = { account: 'a', service: 's', estimate: ESTIMATE, deadlineAtMs: performance.now() + 5_000, signal: abort.signal, isIdempotent: isCompletion, isCompletion, method: 'POST', path: '/', headers: {}, trace }
    relay.run({ ...call, body: Buffer.from('{"model":"m","stream":true}') }, response).catch(error => sendError(response, error))
  })
  return { url, charged, settled, running }
}

async function readAll (url: string): Promise<{ text: string, status?: number, outcome?: string, isComplete: boolean }> {
  const response = await new Promise<IncomingMessage>((resolve, reject) => get(url, { agent: false }, resolve).on('error', reject))
  let text = ''
  try {
    for await (const chunk of response) text += chunk
  } catch {}
  const outcome = response.trailers['papayalead-outcome'] ?? response.headers['papayalead-outcome'] as string | undefined
  return { text, status: response.statusCode, outcome, isComplete: response.complete }
}

/** Sends a request of HTTP/1.0, whose response can have no chunks, and reads until the connection ends. */
async function readOverHttp10 (url: string): Promise<{ head: string, body: string, end: 'closed' | 'reset' }> {
  return await new Promise(resolve => {
    let raw = ''
    const settle = (end: 'closed' | 'reset'): void => resolve({ head: raw.slice(0, raw.indexOf('\r\n\r\n')), body: raw.slice(raw.indexOf('\r\n\r\n') + 4), end })
    const socket = connect(Number(new URL(url).port), '127.0.0.1', () => socket.write('POST / HTTP/1.0\r\n\r\n'))
    socket.on('data', bytes => { raw += bytes.toString('latin1') }).on('error', () => settle('reset'))
    // Node.js reports a reset that it reads together with the last bytes as an end; the socket has no peer then.
    socket.on('end', () => settle(socket.remoteAddress === undefined ? 'reset' : 'closed'))
  })
}

afterEach(async () => {
  await Promise.all(closers.splice(0).map(close => close()))
})

describe('ResponseRelay', () => {
  it.each<[string, number, (response: ServerResponse) => void]>([
    ['resets before the first token', 0, response => response.destroy()],
    ['closes in the middle', 3, response => response.destroy()],
    ['ends without the final event', 5, response => response.end()],
    ['breaks off in the middle of an event', 4, response => response.write(tokenEvent(4).slice(0, 20), () => response.destroy())],
    ['breaks off between usage and final event', TOKENS, response => response.write(USAGE, () => response.destroy())]
  ])('resumes a stream whose target %s, so that no token is missing or repeated', async (_case, endAt, end) => {
    const { url, charged, settled, running } = await startRelay([await startEngine(endAt, end), await startEngine(-1, () => {})])
    const { text, outcome } = await readAll(url)
    expect(text.match(/t\d/g)).toEqual(Array.from({ length: TOKENS }, (_, index) => `t${index}`))
    expect([text.split('usage').length - 1, text.endsWith('data: [DONE]\n\n'), outcome]).toEqual([1, true, 'complete'])
    expect(charged.reduce((sum, cost) => sum + cost, 0)).toBe(TOKENS)
    expect(settled.map(({ cost }) => cost)).toEqual([endAt || ESTIMATE, TOKENS + 1 - endAt])
    expect(running.listTargets()).toEqual([])
  })

  it('ends a stream that can not be resumed with an error event and a destroyed connection, never as complete', async () => {
    const { url, settled } = await startRelay([await startEngine(3, response => response.destroy())])
    const { text, outcome, isComplete } = await readAll(url)
    expect(text).toContain('event: error\ndata: {"error":{"kind":"answer-truncated"')
    expect([text.includes('[DONE]'), outcome, isComplete]).toEqual([false, undefined, false])
    expect(settled.every(({ isHealthy }) => !isHealthy)).toBe(true)
  })

  it.each([[100, false], [300_000, true]])('never passes on a truncated body of %i bytes as complete', async (size, isHeadSent) => {
    const target = await listen((_request, response) => {
      response.writeHead(200, { 'content-length': size + 1 }).write('x'.repeat(size), () => setTimeout(() => response.destroy(), 20))
    })
    const { url } = await startRelay([target], false)
    const { text, status, outcome, isComplete } = await readAll(url)
    if (isHeadSent) expect([isComplete, outcome]).toEqual([false, undefined])
    else expect([status, outcome, JSON.parse(text).error.kind]).toEqual([502, 'unknown', 'answer-truncated'])
  })

  it('stops reading from the target while the caller does not read, and closes the connection to the target when the caller disconnects', async () => {
    const state = { written: 0, isClosed: false }
    const chunk = Buffer.alloc(16 * 1024)
    const target = await listen((_request, response) => {
      response.writeHead(200, { 'transfer-encoding': 'chunked' })
      response.on('close', () => { state.isClosed = true })
      const write = (): void => {
        do state.written += chunk.length
        while (response.write(chunk) && !state.isClosed)
      }
      response.on('drain', write)
      write()
    })
    const { url, running } = await startRelay([target], false)
    const request = get(url, { agent: false }, response => response.pause())
    request.on('error', () => {})
    let before = -1
    while (state.written === 0 || state.written !== before) {
      before = state.written
      await new Promise(resolve => setTimeout(resolve, 200))
    }
    // Most of this is held by the kernel's socket buffers; without backpressure it would grow without end.
    expect(state.written).toBeLessThan(32 * 1024 * 1024)
    request.destroy()
    while (!state.isClosed || running.listTargets().length > 0) await new Promise(resolve => setTimeout(resolve, 5))
  })

  // Guards against a truncated response that a caller of HTTP/1.0 takes for complete, because the end of its connection is the
  // end of a response without a length, and against a response that fails because it announces a trailer.
  it.each<[string, number | undefined, string | RegExp, 'closed' | 'reset']>([
    ['whole, with a length', 300_000, /^content-length: 300000\r?$/im, 'closed'],
    ['whole, without a length', undefined, /^HTTP\/1\.1 200 /, 'closed'],
    ['truncated', 300_001, /^content-length: 300001\r?$/im, 'reset']
  ])('keeps the end of a large response for a caller of HTTP/1.0: %s', async (_case, length, head, end) => {
    const size = 300_000
    const target = await listen((_request, response) => {
      response.writeHead(200, length === undefined ? {} : { 'content-length': length })
      response.write('x'.repeat(size), () => setTimeout(() => length === size || length === undefined ? response.end() : response.destroy(), 20))
    })
    const answer = await readOverHttp10((await startRelay([target], false)).url)
    expect(answer.head).toMatch(head)
    expect(answer.head).not.toMatch(/transfer-encoding|trailer/i)
    expect(answer.end).toBe(end)
    if (end === 'closed') expect(answer.body).toHaveLength(size)
  })

  // Guards against the same for an event stream.
  it.each<[string, number, 'closed' | 'reset']>([['whole', -1, 'closed'], ['truncated', 3, 'reset']])('keeps the end of an event stream for a caller of HTTP/1.0: %s', async (_case, endAt, end) => {
    const { url } = await startRelay([await startEngine(endAt, response => response.destroy())])
    const answer = await readOverHttp10(url)
    expect(answer.head).toMatch(/^HTTP\/1\.1 200 /)
    expect([answer.body.endsWith('data: [DONE]\n\n'), answer.end]).toEqual([end === 'closed', end])
  })
})
