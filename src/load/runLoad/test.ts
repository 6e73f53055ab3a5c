import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { BookingSettings } from '../../standIn/BookingSettings'
import { EngineSettings } from '../../standIn/EngineSettings'
import { startBooking } from '../../standIn/startBooking'
import { startEngine } from '../../standIn/startEngine'
import { LoadSettings } from '../LoadSettings'
import { renderLoadReport } from '../renderLoadReport'
import { runLoad } from '.'

const ADDRESS = { host: '127.0.0.1', port: 0 }
const createGroup = (call: object, changes: object = {}) => ({ loop: 'closed', concurrency: 4, maxRequests: 40, accounts: [{ name: 'a', key: 'k' }, { name: 'b', key: 'k' }], calls: [call], ...changes })
const run = (port: number, groups: object[], changes: object = {}) => runLoad(LoadSettings.parse({ urls: [`http://127.0.0.1:${port}`], seed: 3, groups, ...changes }))

describe('runLoad', () => {
  it('counts complete and truncated responses separately, so that a faulty response is never counted as complete', async () => {
    const engine = await startEngine(ADDRESS, EngineSettings.parse({ firstTokenMs: 0, tokenMs: 0, truncateRate: 0.3, truncateBy: 'end' }))
    const report = await run(engine.address.port, [createGroup({ kind: 'chat', service: 'm', isStreamed: true, maxTokens: [2, 8] }), createGroup({ kind: 'completion', service: 'm' }, { loop: 'open', rate: 500, maxRequests: 20 })])
    const { complete, truncated } = report.kinds.chat.outcomes
    expect(complete + truncated).toBe(40)
    expect(truncated).toBeGreaterThan(0)
    expect(report.kinds.completion.outcomes).toEqual({ complete: 20 })
    expect(report.accounts.a.requests + report.accounts.b.requests).toBe(60)
    expect(renderLoadReport(report)).toContain(`truncated ${truncated}`)
    await engine.close()
  })

  it('lists each booking with its number of attempts, so that duplicate runs in the record of the target can be counted', async () => {
    const booking = await startBooking(ADDRESS, BookingSettings.parse({ resetAfterRate: 0.3, seed: 2 }))
    const server = createServer((request, response) => {
      // A router without protection against duplicate runs: it forwards every call and reports its outcome.
      void fetch(`http://127.0.0.1:${booking.address.port}/bookings`, { method: 'POST', body: request as never, headers: request.headers as never, duplex: 'half' } as RequestInit)
        .then(async answer => response.writeHead(answer.status, { 'papayalead-outcome': 'complete' }).end(await answer.text()), () => response.writeHead(502, { 'papayalead-outcome': 'unknown' }).end())
    }).listen(0, ADDRESS.host)
    await once(server, 'listening')
    const report = await run((server.address() as AddressInfo).port, [createGroup({ kind: 'booking', service: 'b', hasKey: true }, { resends: 1, maxRequests: 20 })], { listsBookings: true })
    const record = await (await fetch(`http://127.0.0.1:${booking.address.port}/record`)).json() as Array<{ body: { bookingId: string } }>
    expect(report.bookings).toHaveLength(20)
    const attempts = report.bookings!.reduce((sum, entry) => sum + entry.attempts, 0)
    expect(attempts).toBeGreaterThan(20)
    expect(record).toHaveLength(attempts)
    server.close()
    server.closeAllConnections()
    await booking.close()
  })

  it('counts a response to another request as wrong, so that mixed-up responses are detected', async () => {
    const server = createServer((_request, response) => response.end('{"bookingId":"other"}')).listen(0, ADDRESS.host)
    await once(server, 'listening')
    const report = await run((server.address() as AddressInfo).port, [createGroup({ kind: 'booking', service: 'b' }, { maxRequests: 3 })])
    expect(report.total.outcomes).toEqual({ wrong: 3 })
    server.close()
    server.closeAllConnections()
  })
})
