import { randomUUID } from 'node:crypto'
import { Agent, request } from 'undici'

interface Attempt { router: string, outcome: 'complete' | 'not-run' | 'unknown' | 'refused', id?: number, body?: { nonce?: string } }

/** One booking with the outcome and body that each attempt to send it returned. */
export interface Booking { nonce: string, key?: string, attempts: Attempt[] }

/** Numbers of bookings. `complete`, `notRun` (also for a refused connection) and `unknown` go by the last attempt. */
interface Counts {
  bookings: number
  /** Bookings that were sent more than once. */
  resent: number
  complete: number
  notRun: number
  unknown: number
  /** Bookings that ran more than once. */
  duplicateRuns: number
  /** Bookings that were reported as not run but ran. */
  falseNotRun: number
  /** Bookings that were reported as complete but did not run. */
  falseComplete: number
  /** Bookings that got the response of another booking. */
  mismatchedResponses: number
}

const DEADLINE_MS = 20_000

/** Sends bookings as callers do and compares the outcomes returned to them with the records of the booking targets. */
export class BookingLoad {
  readonly bookings: Booking[] = []
  // Each call has its own connection, as through a load balancer.
  readonly #agent = new Agent({ pipelining: 0 })
  readonly #running = new Set<Promise<void>>()

  /** Sends a new booking to the router without waiting for its response. */
  start (url: string, options: { isKeyed?: boolean } = {}): Booking {
    const nonce = randomUUID()
    const booking: Booking = { nonce, key: options.isKeyed ? nonce : undefined, attempts: [] }
    this.bookings.push(booking)
    this.send(booking, url)
    return booking
  }

  /** Sends or resends a booking and waits for its response. */
  send (booking: Booking, url: string): Promise<void> {
    const running = this.#send(booking, url).finally(() => this.#running.delete(running))
    this.#running.add(running)
    return running
  }

  /** Waits until no attempt is running. */
  async wait (): Promise<void> {
    while (this.#running.size > 0) await Promise.all(this.#running)
  }

  /** Resends every keyed booking whose outcome is not known to be complete. */
  async resendAll (url: string): Promise<void> {
    await Promise.all(this.bookings.filter(({ key, attempts }) => key && attempts.at(-1)?.outcome !== 'complete').map(booking => this.send(booking, url)))
  }

  /** Compares the outcomes of all bookings with the records of these targets. */
  async count (targetUrls: string[]): Promise<Counts> {
    const runs = new Map<string, number>()
    for (const url of targetUrls) {
      const { body } = await request(`${url}/record`)
      for (const run of await body.json() as Array<{ body: { nonce: string } }>) runs.set(run.body.nonce, (runs.get(run.body.nonce) ?? 0) + 1)
    }
    const counts: Counts = { bookings: this.bookings.length, resent: 0, complete: 0, notRun: 0, unknown: 0, duplicateRuns: 0, falseNotRun: 0, falseComplete: 0, mismatchedResponses: 0 }
    for (const booking of this.bookings) addCounts(counts, booking, runs.get(booking.nonce) ?? 0)
    return counts
  }

  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  async #send (booking: Booking, url: string): Promise<void> {
    const attempt: Attempt = { router: url, outcome: 'unknown' }
    booking.attempts.push(attempt)
    try {
      const { headers, body } = await request(`${url}/services/booking/bookings`, {
        method: 'POST',
        headers: { authorization: 'Bearer key-a', 'content-type': 'application/json', ...(booking.key && { 'idempotency-key': booking.key }) },
        body: JSON.stringify({ nonce: booking.nonce }),
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(DEADLINE_MS)
      })
      attempt.body = await body.json() as Attempt['body']
      attempt.outcome = headers['papayalead-outcome'] as Attempt['outcome']
    } catch (error) {
      attempt.outcome = (error as { code?: string }).code === 'ECONNREFUSED' ? 'refused' : 'unknown'
    }
  }
}

function addCounts (counts: Counts, { nonce, key, attempts }: Booking, runs: number): void {
  const last = attempts.at(-1)!
  if (last.outcome === 'complete') counts.complete++
  else if (last.outcome === 'unknown') counts.unknown++
  else counts.notRun++
  if (attempts.length > 1) counts.resent++
  if (runs > 1) counts.duplicateRuns++
  // With a key, an attempt may be refused as not run although an earlier attempt ran, but only if its claim was refused.
  // So a keyed booking counts as reported as not run only if every attempt was not run or refused.
  const isNotRun = key ? attempts.every(({ outcome }) => outcome === 'not-run' || outcome === 'refused') : last.outcome === 'not-run'
  if (isNotRun && runs > 0) counts.falseNotRun++
  if (attempts.some(({ outcome }) => outcome === 'complete') && runs === 0) counts.falseComplete++
  if (attempts.some(({ outcome, body }) => outcome === 'complete' && body?.nonce !== nonce)) counts.mismatchedResponses++
}
