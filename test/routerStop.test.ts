import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { startFleet } from './_lib/startFleet'
import { waitFor } from './_lib/waitFor'

const LAME_DUCK_MS = 800
const STOP_TIMEOUT_MS = 2_500
const SLOTS = 3

interface RunningCall {
  /** All bytes that the caller has received; complete when the connection has closed. */
  text: string
  isClosed: boolean
  /** Sends more bytes of the request. */
  write: (bytes: string) => void
}

/** Sends a booking on a connection of its own. With an incomplete body the router waits for the rest. */
function startCall (url: string, { headers = [] as string[], isBodyComplete = true } = {}): RunningCall {
  const call: RunningCall = { text: '', isClosed: false, write: bytes => socket.write(bytes) }
  const body = '{"pool":7}'
  const head = ['POST /services/booking/bookings HTTP/1.1', 'host: a', 'authorization: Bearer key-a', `content-length: ${body.length}`, ...headers, '', ''].join('\r\n')
  const socket = connect(Number(new URL(url).port), '127.0.0.1', () => socket.write(head + (isBodyComplete ? body : body.slice(0, -1))))
  socket.on('data', chunk => { call.text += chunk })
  socket.on('error', () => {})
  socket.on('close', () => { call.isClosed = true })
  return call
}

const REFUSED = /^HTTP\/1.1 503 [^]*"kind":"shutting-down"[^]*"outcome":"not-run"/

describe('a router of the product that stops', () => {
  // Guards against a call that is taken late in a stop and passed on, and against calls that are cut at its limit with no
  // answer, among them bookings, which must not be repeated unless they are known not to have run.
  it('refuses late calls as not run, and answers those that still run at the limit: not run, or outcome unknown', async () => {
    const fleet = await startFleet({ accounts: { a: {} }, bookings: [{ name: 'b1', zone: 'z1', service: 'booking', slots: SLOTS }], settings: { '/teams/t/services/booking': { kind: 'http', deadlineMs: 60_000 } }, router: { lameDuckMs: LAME_DUCK_MS, stopTimeoutMs: STOP_TIMEOUT_MS } })
    try {
      const [{ url }] = fleet.routers
      const hasMetric = async (pattern: RegExp): Promise<boolean> => pattern.test(await (await fetch(`${url}/metrics`)).text())
      await waitFor('a keyed booking to run', async () => (await fetch(`${url}/services/booking/bookings`, { method: 'POST', headers: { authorization: 'Bearer key-a', 'idempotency-key': 'k0' }, body: '{"pool":7}' })).status === 201)
      await fetch(`${fleet.bookings[0].url}/options`, { method: 'PUT', body: JSON.stringify({ runMs: 60_000 }) })
      const sent = [startCall(url), startCall(url, { headers: ['idempotency-key: k1'] }), startCall(url)]
      await waitFor('the calls to use all slots', () => hasMetric(/^papayalead_running\{.*\} 3$/m))
      const waiting = [startCall(url), startCall(url, { headers: ['idempotency-key: k2'] })]
      const unread = startCall(url, { isBodyComplete: false })
      const late = startCall(url, { isBodyComplete: false })
      await waitFor('the other calls to wait', () => hasMetric(/^papayalead_queue_length.* 2$/m))
      const stopped = fleet.routers[0].stop()
      await wait(LAME_DUCK_MS + 400)
      late.write('}')
      const isLateRefused = await waitFor('the late call to be refused', () => late.isClosed && REFUSED.test(late.text), STOP_TIMEOUT_MS).then(() => true, () => false)
      await waitFor('the connections to close', () => [...sent, ...waiting, unread, late].every(({ isClosed }) => isClosed))
      await stopped
      for (const { text } of sent) expect(text).toMatch(/^HTTP\/1.1 502 [^]*"kind":"outcome-unknown"[^]*"outcome":"unknown"/)
      for (const { text } of [...waiting, unread, late]) expect(text).toMatch(REFUSED)
      expect(isLateRefused).toBe(true)
      expect(await fleet.routers[0].exitCode).toBe(0)
    } finally {
      await fleet.stop()
    }
  })
})
