import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { GracefulShutdown } from '.'
import { waitFor } from '../../../../test/_lib/waitFor'
import { startHttpServer } from '../../startHttpServer'

/** More than the buffers of a connection hold. */
const LARGE_BYTES = 32 * 1024 * 1024

interface LogLine {
  message: string
  fields?: Record<string, unknown>
}

describe('GracefulShutdown', () => {
  // Guards against a call that is cut at the limit of a stop without a trace of it in the log.
  it('logs the running calls, the limit, and the ids of the calls that it interrupts', async () => {
    const lines: LogLine[] = []
    const log = (message: string, fields?: Record<string, unknown>): void => { lines.push({ message, fields }) }
    const shutdown = new GracefulShutdown({ lameDuckMs: 10, stopTimeoutMs: 50, countKeyedCalls: () => 0, readCallId: request => String(request.headers['call-id']), logger: { error: log, warn: log, info: log, debug: log }, interruptCalls: () => {} })
    let arrivals = 0
    const server = createServer(() => { arrivals++ })
    shutdown.watch(server)
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
    const answer = fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`, { headers: { 'call-id': 'call-1' } }).catch(() => 'cut')
    await waitFor('the call to arrive', async () => arrivals === 1)
    await shutdown.close()
    expect(await answer).toBe('cut')
    expect(lines[0]).toEqual({ message: 'The drain of callers begins.', fields: { running: 1, limitMs: 50 } })
    expect(lines[1]).toMatchObject({ message: 'The drain of callers has ended.', fields: { interrupted: 1, requestIds: ['call-1'] } })
  })

  // Guards against a response that a stop truncates, because it has ended but waits in the buffer for a slow reader.
  it('delivers a large response to a slow reader', async () => {
    const log = (): void => {}
    const shutdown = new GracefulShutdown({ lameDuckMs: 50, stopTimeoutMs: 20_000, countKeyedCalls: () => 0, readCallId: () => '', logger: { error: log, warn: log, info: log, debug: log }, interruptCalls: () => {} })
    const { address } = await startHttpServer({ host: '127.0.0.1', port: 0 }, [{ method: 'get', path: '/', handler: (_request, response) => { response.end(Buffer.alloc(LARGE_BYTES)) } }], { onCreate: server => shutdown.watch(server) })
    const socket = connect(address.port, '127.0.0.1', () => socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'))
    let receivedBytes = 0
    const isClosed = new Promise<void>(resolve => socket.once('close', () => resolve()))
    socket.on('error', () => {})
    await new Promise<void>(resolve => socket.once('data', chunk => {
      receivedBytes += chunk.length
      socket.pause()
      resolve()
    }))
    const stopped = shutdown.close()
    await wait(300)
    socket.on('data', chunk => { receivedBytes += chunk.length })
    socket.resume()
    await Promise.all([isClosed, stopped])
    expect(receivedBytes).toBeGreaterThan(LARGE_BYTES)
  })
})
