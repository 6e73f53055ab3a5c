import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { GracefulShutdown } from '.'
import { waitFor } from '../../../../test/_lib/waitFor'

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
})
