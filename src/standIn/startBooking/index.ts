import type { ListenAddress } from '../../contract/ListenAddress'
import { parseJsonBody } from '../../instance/parseJsonBody'
import { readBody } from '../../instance/readBody'
import { startHttpServer } from '../../instance/startHttpServer'

const MAX_BODY_BYTES = 1024 * 1024

interface RunningBooking {
  address: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startBooking
 * @category Stand-in
 * @summary Stand-in of a booking service that records each booking that it runs.
 *
 * @description
 * `POST /bookings` runs a booking, `GET /bookings/<id>` reads one, `GET /record` lists all runs in order, so that a
 * booking that ran twice is seen.
 *
 * @param address - Where to listen.
 * @returns The bound address and a function that stops it.
 *
 * @example
 * const booking = await startBooking({ host: '127.0.0.1', port: 0 })
 */
export async function startBooking (address: ListenAddress): Promise<RunningBooking> {
  const runs: unknown[] = []
  const { address: bound, server } = await startHttpServer(address, [
    { method: 'get', path: '/health', handler: (_request, response) => { response.end('{"status":"ok"}') } },
    { method: 'get', path: '/record', handler: (_request, response) => { response.end(JSON.stringify(runs)) } },
    { method: 'get', path: '/bookings/:id', handler: (request, response) => { response.end(JSON.stringify(runs[Number(request.params.id)] ?? null)) } },
    {
      method: 'post',
      path: '/bookings',
      handler: async (request, response) => {
        runs.push(parseJsonBody(await readBody(request, { maxBytes: MAX_BODY_BYTES })))
        response.writeHead(201, { 'content-type': 'application/json' }).end(JSON.stringify({ id: runs.length - 1 }))
      }
    }
  ])
  const close = (): Promise<void> => new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
  return { address: bound, close }
}
