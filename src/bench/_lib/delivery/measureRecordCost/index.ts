import { BookingLoad } from '../../../../../test/_lib/BookingLoad'
import { startFleet } from '../../../../../test/_lib/startFleet'
import { waitFor } from '../../../../../test/_lib/waitFor'

interface RecordCost {
  bookings: number
  /** Latencies in milliseconds, in ascending order. */
  unkeyed: number[]
  keyed: number[]
}

const WARM_UP = 50
const BOOKINGS = 500

/** Latency of bookings with and without a key, one at a time and in turn, with three control replicas that sync to disk. */
export async function measureRecordCost (): Promise<RecordCost> {
  const load = new BookingLoad()
  const fleet = await startFleet({ controls: 3, accounts: { a: {} }, bookings: [{ name: 'b1', zone: 'z1', service: 'booking' }], hasProxies: false })
  const cost: RecordCost = { bookings: BOOKINGS, unkeyed: [], keyed: [] }
  const measureOne = async (isKeyed: boolean): Promise<number> => {
    const startedAtMs = performance.now()
    const booking = load.start(fleet.routers[0].url, { isKeyed })
    await load.wait()
    if (booking.attempts[0].outcome !== 'complete') throw new Error(`A booking without a fault ended as ${booking.attempts[0].outcome}.`)
    return performance.now() - startedAtMs
  }
  try {
    await waitFor('a keyed booking to run', () => measureOne(true).then(() => true, () => false))
    for (let i = 0; i < WARM_UP + BOOKINGS; i++) {
      const [unkeyedMs, keyedMs] = [await measureOne(false), await measureOne(true)]
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
