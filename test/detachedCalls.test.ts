import { setTimeout as wait } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { GatewayFleet } from './_lib/GatewayFleet'

const TIMEOUT_MS = 600
/** Longer than the time for which the router keeps the connection of a call whose caller has left. */
const GIVEN_BACK_AFTER_MS = TIMEOUT_MS + 1_500
const LEAVE_AFTER_MS = 150
/** The router uses eight of them. */
const MAX_CONNECTIONS = 10
const CALLS = 30

let fleet: GatewayFleet
let isSilent = true
const arrived: string[] = []

const book = (callId: string, signal?: AbortSignal) => request(`${fleet.url}/book/x`, { method: 'POST', headers: { host: 'a.example', 'call-id': callId }, body: 'x', signal, dispatcher: new Agent() })

describe('Calls that must not be repeated, to a target that does not answer', () => {
  beforeAll(async () => {
    fleet = await GatewayFleet.start()
    await fleet.startTarget('t1', (incoming, response) => {
      const callId = String(incoming.headers['call-id'])
      arrived.push(callId)
      incoming.resume()
      if (!isSilent) response.writeHead(200, { 'call-id': callId, signature: 's' }).end('booked')
    }, { slots: MAX_CONNECTIONS })
    const route = { name: 'book', host: 'a.example', pathPrefix: '/book/', kind: 'non-idempotent', timeoutMs: TIMEOUT_MS, priority: 1, split: [{ service: 's', weight: 1 }], maxAttempts: 1, isOpen: true, isResumable: false }
    await fleet.setDocument({ version: 1, routes: [route], services: [{ name: 's', maxConnections: MAX_CONNECTIONS }] } as never)
    await fleet.waitUntilReady()
  })
  afterAll(() => fleet.close())

  // Guards against a router whose connections are taken for good by callers that have left, and against calls that reach a
  // target seconds after their callers have left.
  it('give their connections back after their callers have left, and reach no target later', async () => {
    const calls = Array.from({ length: CALLS }, (_, i) => book(`left-${i}`, AbortSignal.timeout(LEAVE_AFTER_MS)).catch(() => undefined))
    await Promise.all(calls)
    const sent = arrived.length
    await wait(GIVEN_BACK_AFTER_MS)
    isSilent = false
    const answer = await book('new')
    expect([answer.statusCode, await answer.body.text()]).toEqual([200, 'booked'])
    expect(arrived.slice(sent)).toEqual(['new'])
  })
})
