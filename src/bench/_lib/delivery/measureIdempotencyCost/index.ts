import { BookingLoad } from '../../../../../test/_lib/BookingLoad'
import { startFleet } from '../../../../../test/_lib/startFleet'
import { waitFor } from '../../../../../test/_lib/waitFor'

interface IdempotencyCost {
  /** Number of bookings of each kind, without and with an idempotency key. */
  bookings: number
  /** Latencies of bookings without an idempotency key, in milliseconds and ascending order. */
  unkeyed: number[]
  /** Latencies of bookings with an idempotency key, in milliseconds and ascending order. */
  keyed: number[]
}

const WARM_UP = 50
const BOOKINGS = 500

/**
 * Measures booking latency, alternately without and with an idempotency key, with three control replicas that sync to
 * disk.
 */
export async function measureIdempotencyCost (): Promise<IdempotencyCost> {
  const load = new BookingLoad()
  const fleet = await startFleet({ controls: 3, accounts: { a: {} }, bookings: [{ name: 'b1', zone: 'z1', service: 'booking' }], hasProxies: false })
  const cost: IdempotencyCost = { bookings: BOOKINGS, unkeyed: [], keyed: [] }
  const measureBooking = async (isKeyed: boolean): Promise<number> => {
    const startedAtMs = performance.now()
    const booking = load.start(fleet.routers[0].url, { isKeyed })
    await load.wait()
    if (booking.attempts[0].outcome !== 'complete') throw new Error(`A booking had the outcome ${booking.attempts[0].outcome} instead of complete, although no fault was injected.`)
    return performance.now() - startedAtMs
  }
  try {
    await waitFor('a keyed booking to run', () => measureBooking(true).then(() => true, () => false))
    for (let i = 0; i < WARM_UP + BOOKINGS; i++) {
      const [unkeyedMs, keyedMs] = [await measureBooking(false), await measureBooking(true)]
      if (i < WARM_UP) continue
      cost.unkeyed.push(unkeyedMs)
      cost.keyed.push(keyedMs)
    }
  } finally {
    await load.close()
    await fleet.stop()
  }
  cost.unkeyed.sort((a, b) => a - b)
  cost.keyed.sort((a, b) => a - b)
  return cost
}
