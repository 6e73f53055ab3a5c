import { setTimeout as wait } from 'node:timers/promises'
import { BookingLoad } from '../../../../../test/_lib/BookingLoad'
import { startFleet } from '../../../../../test/_lib/startFleet'
import { StreamLoad } from '../../../../../test/_lib/StreamLoad'
import { waitFor } from '../../../../../test/_lib/waitFor'
import { createRandom } from '../../../../standIn/createRandom'
import type { FAULTS } from '../FAULTS'

interface FaultCaseResult {
  name: string
  counts: Awaited<ReturnType<BookingLoad['count']>>
  streams: number
  /** Streams that failed or ended early. */
  interrupted: number
  /** Complete streams with a wrong number of tokens. */
  wrongTokens: number
}

const BOOKINGS_PER_S = 60
const BEFORE_FAULT_MS = 1_500
const FAULT_MS = 7_000
const AFTER_FAULT_MS = 1_500
const SERVICE_DEADLINE_MS = 4_000

/**
 * Runs seeded bookings, half of them with an idempotency key, and streams while the given faults are active together.
 */
export async function runFaultCase (faults: ReadonlyArray<(typeof FAULTS)[number]>, seed: number): Promise<FaultCaseResult> {
  const random = createRandom(seed)
  const load = new BookingLoad()
  const streams = new StreamLoad()
  const engine = { zone: 'z1', service: 'llama', slots: 16, options: { seed, tokenMs: 5, maxBatch: 16 } }
  const fleet = await startFleet({
    routersPerZone: 3,
    controls: 3,
    accounts: { a: { maxQueued: 1_000 } },
    bookings: ['b1', 'b2'].map(name => ({ name, zone: 'z1', service: 'booking', slots: 16, options: { seed, runMs: 10 } })),
    engines: ['e1', 'e2'].map(name => ({ ...engine, name })),
    settings: { '/teams/t/services/booking': { kind: 'http', deadlineMs: SERVICE_DEADLINE_MS } }
  })
  const state = { isRunning: true }
  let streamCount = 0
  const runCallers = async (): Promise<void> => {
    for (let i = 0; state.isRunning; i++) {
      load.start(fleet.routers[Math.floor(random() * 3)].url, { isKeyed: random() < 0.5 })
      if (i % 10 === 0) {
        streams.start(fleet.routers[2].url, 40)
        streamCount++
      }
      await wait(random() * 2_000 / BOOKINGS_PER_S)
    }
  }
  try {
    await waitFor('a keyed booking to run at each router', async () => {
      const bookings = fleet.routers.map(({ url }) => load.start(url, { isKeyed: true }))
      await load.wait()
      return bookings.every(({ attempts }) => attempts[0].outcome === 'complete')
    })
    const callers = runCallers()
    await wait(BEFORE_FAULT_MS)
    for (const fault of faults) await fault.begin(fleet)
    await wait(FAULT_MS)
    for (const fault of [...faults].reverse()) await fault.end(fleet)
    await wait(AFTER_FAULT_MS)
    state.isRunning = false
    await callers
    await Promise.all([load.wait(), streams.wait()])
    await load.resendAll(fleet.routers[2].url)
    const counts = await load.count(fleet.bookings.map(({ url }) => url))
    const { interrupted, wrongTokens } = streams
    return { name: faults.map(({ name }) => name).join(' + ') || 'none', counts, streams: streamCount, interrupted, wrongTokens }
  } finally {
    state.isRunning = false
    await load.close()
    await fleet.stop()
  }
}
