import { setTimeout as wait } from 'node:timers/promises'
import { BookingLoad } from '../../../../../test/_lib/BookingLoad'
import { ReadyRouters } from '../../../../../test/_lib/ReadyRouters'
import { startFleet } from '../../../../../test/_lib/startFleet'
import { StreamLoad } from '../../../../../test/_lib/StreamLoad'
import { waitFor } from '../../../../../test/_lib/waitFor'

interface RollingRestart {
  counts: Awaited<ReturnType<BookingLoad['count']>>
  streams: number
  interrupted: number
  /** Milliseconds from the operator's drain request to the last booking that ran on the target. */
  drainMs: number
}

const ZONES = ['z1', 'z2', 'z3']
const DRAIN_OBSERVED_MS = 4_000

/** Restarts nine routers one after another under load, then drains a target, also under load. */
export async function measureRollingRestart (): Promise<RollingRestart> {
  const load = new BookingLoad()
  const streams = new StreamLoad()
  const fleet = await startFleet({
    zones: ZONES,
    routersPerZone: 3,
    controls: 3,
    accounts: { a: { maxQueued: 1_000 } },
    bookings: ZONES.map((zone, index) => ({ name: `b${index + 1}`, zone, service: 'booking' })),
    engines: ZONES.map((zone, index) => ({ name: `e${index + 1}`, zone, service: 'llama', slots: 16, options: { tokenMs: 20, maxBatch: 16 } })),
    router: { lameDuckMs: 800 },
    hasProxies: false
  })
  const ready = new ReadyRouters(fleet.routers.map(({ url }) => url))
  const state = { isRunning: true, streams: 0 }
  const runCallers = async (): Promise<void> => {
    for (let i = 0; state.isRunning; i++) {
      load.start(ready.choose(i), { isKeyed: i % 2 === 0 })
      if (i % 10 === 0) {
        streams.start(ready.choose(i), 50)
        state.streams++
      }
      await wait(15)
    }
  }
  try {
    await waitFor('a keyed booking to run at each router', async () => {
      const bookings = fleet.routers.map(({ url }) => load.start(url, { isKeyed: true }))
      await load.wait()
      return bookings.every(({ attempts }) => attempts[0].outcome === 'complete')
    })
    load.bookings.length = 0
    const callers = runCallers()
    for (const router of fleet.routers) {
      await router.restart()
      await waitFor('the restarted router to be ready', async () => (await fetch(`${router.url}/readyz`)).ok)
    }
    const changedAtMs = Date.now()
    const applied = fleet.apply({ '/teams/t/drains/b1': { reason: 'bench' } })
    await wait(DRAIN_OBSERVED_MS)
    await applied
    state.isRunning = false
    await callers
    await Promise.all([load.wait(), streams.wait()])
    const counts = await load.count(fleet.bookings.map(({ url }) => url))
    const runs = await (await fetch(`${fleet.bookings[0].url}/record`)).json() as Array<{ atMs: number }>
    const last = Math.max(...runs.map(({ atMs }) => atMs))
    return { counts, streams: state.streams, interrupted: streams.interrupted, drainMs: Math.max(0, last - changedAtMs) }
  } finally {
    state.isRunning = false
    ready.stop()
    await load.close()
    await fleet.stop()
  }
}
