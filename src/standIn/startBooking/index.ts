import type { ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import type { ListenAddress } from '../../contract/ListenAddress'
import { parseJsonBody } from '../../instance/parseJsonBody'
import { readBody } from '../../instance/readBody'
import { startHttpServer } from '../../instance/startHttpServer'
import { createCloseFunction } from '../_lib/createCloseFunction'
import { createRandom } from '../createRandom'
import { sendJson } from '../_lib/sendJson'
import { BookingSettings } from '../BookingSettings'

const MAX_BODY_BYTES = 1024 * 1024
const FAULTS = ['late', 'never', 'resetBefore', 'resetAfter', 'truncate'] as const

type Fault = typeof FAULTS[number] | 'none'

interface BookingRun {
  id: number
  idempotencyKey: string | null
  requestId: string | null
  body: unknown
  fault: Fault
  /** Time at which the booking ran, in wall-clock milliseconds since the epoch. */
  atMs: number
}

interface RunningBooking {
  address: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startBooking
 * @category Stand-in
 * @summary Starts a stand-in for a booking service that records each booking that it runs.
 *
 * @description
 * `POST /bookings` runs a booking and `GET /bookings/<id>` reads one. `GET /record` lists all runs in order with their
 * idempotency keys, so that duplicate runs are detected. The service itself ignores the key, like a service without
 * support for idempotency. `PUT /options` changes its settings while it runs. `x-request-id` is echoed.
 *
 * @param address - Address to listen on.
 * @param initial - Initial settings.
 * @returns The bound address and a function that stops the server.
 *
 * @example
 * const booking = await startBooking({ host: '127.0.0.1', port: 0 }, BookingSettings.parse({}))
 */
export async function startBooking (address: ListenAddress, initial: BookingSettings): Promise<RunningBooking> {
  const runs: BookingRun[] = []
  const random = createRandom(initial.seed)
  let settings = initial
  const { address: bound, server } = await startHttpServer(address, [
    { method: 'get', path: '/health', handler: (_request, response) => sendJson(response, { status: settings.health }) },
    { method: 'get', path: '/record', handler: (_request, response) => sendJson(response, runs) },
    {
      method: 'put',
      path: '/options',
      handler: async (request, response) => {
        settings = BookingSettings.parse({ ...settings, ...parseJsonBody(await readBody(request, { maxBytes: MAX_BODY_BYTES })) as object })
        sendJson(response, settings)
      }
    },
    {
      method: 'get',
      path: '/bookings/:id',
      handler: async (request, response) => {
        if (settings.runMs > 0) await wait(settings.runMs)
        sendRequestId(request.headers, response)
        const run = runs.at(Number(request.params.id))
        sendJson(response, run ? { id: run.id, ...Object(run.body) } : { error: 'There is no such booking.' }, run ? 200 : 404)
      }
    },
    {
      method: 'post',
      path: '/bookings',
      handler: async (request, response) => {
        const body = parseJsonBody(await readBody(request, { maxBytes: MAX_BODY_BYTES }))
        const fault = chooseFault(settings, random)
        if (fault === 'resetBefore') return response.socket?.resetAndDestroy() && undefined
        if (settings.runMs > 0) await wait(settings.runMs)
        const id = runs.length
        const { 'idempotency-key': key, 'x-request-id': requestId } = request.headers
        runs.push({ id, idempotencyKey: key ? String(key) : null, requestId: requestId ? String(requestId) : null, body, fault, atMs: Date.now() })
        sendRequestId(request.headers, response)
        await sendResponse(response, { id, ...Object(body) }, fault, settings.lateMs)
      }
    }
  ])
  return { address: bound, close: createCloseFunction(server) }
}

function sendRequestId (headers: Record<string, unknown>, response: ServerResponse): void {
  if (headers['x-request-id'] !== undefined) response.setHeader('x-request-id', String(headers['x-request-id']))
}

/** Uses one random draw per call, whatever the rates are, so that equal seeds give equal sequences of draws. */
function chooseFault (settings: BookingSettings, random: () => number): Fault {
  let draw = random()
  for (const fault of FAULTS) {
    draw -= settings[`${fault}Rate`]
    if (draw < 0) return fault
  }
  return 'none'
}

async function sendResponse (response: ServerResponse, booking: object, fault: Fault, lateMs: number): Promise<void> {
  if (fault === 'never') return
  if (fault === 'resetAfter') {
    response.socket?.resetAndDestroy()
    return
  }
  if (fault === 'truncate') {
    const body = JSON.stringify(booking)
    response.writeHead(201, { 'content-type': 'application/json', 'content-length': body.length })
    response.write(body.slice(0, body.length / 2), () => response.destroy())
    return
  }
  if (fault === 'late') await wait(lateMs)
  sendJson(response, booking, 201)
}
