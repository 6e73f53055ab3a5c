import { connect, type Socket } from 'node:net'
import type { ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { GatewaySettings } from '../src/contract/GatewaySettings'
import { startGateway } from '../src/instance/startGateway'
import { LifecycleManager } from '../src/lifecycle/LifecycleManager'
import { noopTracer } from '../src/telemetry/noopTracer'
import { PrometheusMetrics } from '../src/telemetry/PrometheusMetrics'
import { GatewayFleet } from './_lib/GatewayFleet'
import { plainCodecs } from './_lib/plainCodecs'
import { reservePorts } from './_lib/reservePorts'
import { waitFor } from './_lib/waitFor'

const createRoute = (name: string, overrides: object = {}) => ({ name, host: 'a.example', pathPrefix: `/${name}/`, kind: 'idempotent' as const, timeoutMs: 20_000, priority: 1, split: [{ service: 's', weight: 1 }], maxAttempts: 2, isOpen: true, isResumable: false, ...overrides })

/** As GatewayFleet sets it. */
const GRACE_MS = 4_000

interface RunningCall {
  /** All bytes that the caller has received; complete when the connection has closed. */
  text: string
  isClosed: boolean
  /** Sends more bytes of the request. */
  write: (bytes: string) => void
}

/** Sends a request on a connection of its own. With an incomplete body the router waits for the rest. */
function startCall (fleet: GatewayFleet, path: string, { isBodyComplete = true } = {}): RunningCall {
  const call: RunningCall = { text: '', isClosed: false, write: bytes => socket.write(bytes) }
  const socket = connect(Number(new URL(fleet.url).port), '127.0.0.1', () => socket.write(`POST ${path} HTTP/1.1\r\nhost: a.example\r\ncall-id: call-${path}\r\ncontent-length: ${isBodyComplete ? 1 : 2}\r\n\r\nx`))
  socket.on('data', chunk => { call.text += chunk })
  socket.on('error', () => {})
  socket.on('close', () => { call.isClosed = true })
  return call
}

interface KeptCaller {
  answered: number
  /** Requests whose connection closed before a whole response. */
  unanswered: Array<{ id: string, isFirst: boolean }>
}

/** Sends requests one after the other on a kept connection, until the router closes it or can't be reached. */
async function runKeptCaller (port: number, name: string): Promise<KeptCaller> {
  const caller: KeptCaller = { answered: 0, unanswered: [] }
  let isListening = true
  let next = 0
  while (isListening) {
    const socket = connect(port, '127.0.0.1')
    isListening = await new Promise<boolean>(resolve => {
      socket.once('connect', () => resolve(true))
      socket.once('error', () => resolve(false))
    })
    let isOpen = isListening
    let isFirst = true
    socket.on('error', () => {})
    while (isOpen) {
      const id = `${name}-${next++}`
      const text = await sendOnSocket(socket, id)
      if (text === undefined) caller.unanswered.push({ id, isFirst })
      else caller.answered++
      isFirst = false
      isOpen = text !== undefined && !/connection: close/i.test(text)
    }
    socket.destroy()
  }
  return caller
}

/** Returns the whole response, or undefined if the connection closed before its end. */
function sendOnSocket (socket: Socket, id: string): Promise<string | undefined> {
  return new Promise(resolve => {
    let text = ''
    const handleData = (chunk: Buffer): void => {
      text += chunk
      const [head, body] = text.split('\r\n\r\n')
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1])
      if (body === undefined || body.length < length) return
      socket.off('data', handleData)
      socket.off('close', handleClose)
      resolve(text)
    }
    const handleClose = (): void => resolve(undefined)
    socket.on('data', handleData)
    socket.once('close', handleClose)
    socket.write(`POST /read/ HTTP/1.1\r\nhost: a.example\r\ncall-id: ${id}\r\ncontent-length: 1\r\n\r\nx`)
  })
}

describe('a router that stops', () => {
  // Guards against requests that were just accepted and are cut off by a planned stop under load. A connection that the
  // kernel holds when the listener closes is reset; its request was not read, so that its caller may send it elsewhere.
  it('answers every request that callers send on kept connections meanwhile', async () => {
    const fleet = await GatewayFleet.start()
    try {
      const arrived = new Set<unknown>()
      await fleet.startTarget('t1', (request, response) => {
        arrived.add(request.headers['call-id'])
        setTimeout(() => response.writeHead(200, GatewayFleet.createResponseHeaders(request, { 'content-length': '6' })).end('answer'), 5)
      })
      await fleet.setDocument({ version: 1, routes: [createRoute('read')] })
      await fleet.waitUntilReady()
      const callers = Array.from({ length: 20 }, (_, i) => runKeptCaller(Number(new URL(fleet.url).port), `c${i}`))
      await wait(500)
      await fleet.stopRouters()
      const results = await Promise.all(callers)
      const unanswered = results.flatMap(caller => caller.unanswered)
      const readIds = new Set(fleet.logLines.filter(({ message }) => message === 'A request ended.').map(({ fields }) => fields?.requestId))
      expect(unanswered.filter(({ id, isFirst }) => !isFirst || readIds.has(id) || arrived.has(id))).toEqual([])
      expect(results.every(({ answered }) => answered > 10)).toBe(true)
      expect(readIds.size).toBeGreaterThan(200)
    } finally {
      await fleet.close()
    }
  }, 30_000)

  // Guards against a call that gets neither a response nor a refusal, because its connection is closed at the limit.
  it('answers the calls that still run shortly before the limit: not run, outcome unknown, or a broken stream', async () => {
    const fleet = await GatewayFleet.start()
    try {
      const running: ServerResponse[] = []
      await fleet.startTarget('t1', (request, response) => {
        running.push(response)
        if (request.url === '/stream/') response.writeHead(200, GatewayFleet.createResponseHeaders(request)).write('id: 1\ndata: a\n\n')
      })
      await fleet.setDocument({ version: 1, services: [{ name: 's', maxConnections: 4 }], routes: [createRoute('read'), createRoute('book', { kind: 'non-idempotent' }), createRoute('stream', { kind: 'stream' })] })
      await fleet.waitUntilReady()
      const unread = startCall(fleet, '/book/', { isBodyComplete: false })
      const sent = [startCall(fleet, '/read/'), startCall(fleet, '/read/'), startCall(fleet, '/book/')]
      const stream = startCall(fleet, '/stream/')
      await waitFor('the calls to run', async () => running.length === 4 && stream.text.includes('data: a'))
      const unconnected = startCall(fleet, '/book/')
      await fleet.stopRouters()
      await waitFor('the connections to close', async () => [unread, unconnected, ...sent, stream].every(({ isClosed }) => isClosed))
      for (const { text } of [unread, unconnected]) expect(text).toMatch(/^HTTP\/1.1 503 [^]*retry-after: 0.50[^]*"kind":"shutting-down"[^]*"outcome":"not-run"/)
      for (const { text } of sent) expect(text).toMatch(/^HTTP\/1.1 502 [^]*"kind":"outcome-unknown"[^]*"outcome":"unknown"/)
      expect(stream.text).not.toMatch(/\r\n0\r\n/)
      expect(fleet.logLines.find(({ message }) => message === 'The drain of callers has ended.')?.fields).toMatchObject({ refused: 2, interrupted: 4, cut: 0 })
    } finally {
      await fleet.close()
    }
  }, 30_000)

  // Guards against a call that is taken at the end of the lame-duck period or later, and then cut at the limit.
  it('refuses new calls as not run before the lame-duck period ends, and serves until then', async () => {
    const fleet = await GatewayFleet.start()
    try {
      await fleet.startTarget('t1', (request, response) => response.writeHead(200, GatewayFleet.createResponseHeaders(request)).end('answer'))
      await fleet.setDocument({ version: 1, routes: [createRoute('read')] })
      await fleet.waitUntilReady()
      const late = startCall(fleet, '/read/', { isBodyComplete: false })
      const startedAtMs = performance.now()
      const stopped = fleet.stopRouters()
      const calls: Array<{ sentMs: number, call: RunningCall }> = []
      while (performance.now() - startedAtMs < 2_900) {
        calls.push({ sentMs: performance.now() - startedAtMs, call: startCall(fleet, '/read/') })
        await wait(100)
      }
      late.write('x')
      await waitFor('the connections to close', async () => [late, ...calls.map(({ call }) => call)].every(({ isClosed }) => isClosed))
      await stopped
      const refused = /^HTTP\/1.1 503 [^]*connection: close[^]*retry-after: 0.50[^]*"kind":"shutting-down"/i
      for (const { call } of calls.filter(({ sentMs }) => sentMs < 2_000)) expect(call.text).toMatch(/^HTTP\/1.1 200 /)
      for (const { text } of [late, ...calls.filter(({ sentMs }) => sentMs > 2_700).map(({ call }) => call)]) expect(text).toMatch(refused)
    } finally {
      await fleet.close()
    }
  }, 30_000)

  // Guards against a call that must not be repeated, waits until late in the grace period, and is then sent to a target
  // that has no time left to answer it.
  it('refuses calls as not run that no target has taken when little of the grace period is left', async () => {
    const fleet = await GatewayFleet.start()
    try {
      const running: Array<{ response: ServerResponse, url: string }> = []
      await fleet.startTarget('t1', (request, response) => { running.push({ response, url: String(request.url) }) })
      await fleet.setDocument({ version: 1, services: [{ name: 's', maxConnections: 4 }], routes: [createRoute('book', { kind: 'non-idempotent' })] })
      await fleet.waitUntilReady()
      const calls = Array.from({ length: 4 }, (_, i) => startCall(fleet, `/book/${i}`))
      await waitFor('the calls to use all connections', () => running.length === 4)
      const late = startCall(fleet, '/book/late')
      const stopped = fleet.stopRouters()
      // After the lame-duck period, and before running calls are interrupted.
      await wait(GRACE_MS - 900)
      for (const { response } of running) response.writeHead(200, { 'call-id': `call-${response.req.url}`, signature: 's' }).end('answer')
      await waitFor('the connections to close', () => [late, ...calls].every(({ isClosed }) => isClosed))
      await stopped
      expect(running.map(({ url }) => url)).not.toContain('/book/late')
      expect(late.text).toMatch(/^HTTP\/1.1 503 [^]*retry-after: 0.50[^]*"kind":"shutting-down"[^]*"outcome":"not-run"/)
    } finally {
      await fleet.close()
    }
  }, 30_000)

  // Guards against a process that takes calls after its stop has begun, and exits under them.
  it('opens no listener for callers when the stop begins while the router starts', async () => {
    const { ports: [front, ready, link], release } = await reservePorts(3)
    const lifecycle = new LifecycleManager()
    const log = (): void => {}
    const settings = GatewaySettings.parse({ instance: 'edge-1', zone: 'z1', front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, seeds: ['127.0.0.1:1'], linkPort: link, list: '127.0.0.1:1', clusterKey: 'key-of-the-test-cluster', graceS: 1 })
    const started = startGateway(settings, { ...plainCodecs, source: { list: async () => [] }, logger: { error: log, warn: log, info: log, debug: log }, metrics: new PrometheusMetrics({ instance: 'edge-1', zone: 'z1' }), tracer: noopTracer, lifecycle })
    await lifecycle.close()
    await started
    await expect(fetch(`http://127.0.0.1:${front}/`)).rejects.toThrow('fetch failed')
    release()
  })
})
