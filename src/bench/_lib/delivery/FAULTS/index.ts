import type { startFleet } from '../../../../../test/_lib/startFleet'

type Fleet = Awaited<ReturnType<typeof startFleet>>

interface Fault {
  name: string
  begin: (fleet: Fleet) => Promise<void> | void
  end: (fleet: Fleet) => Promise<void> | void
}

async function setFaultOptions (members: Fleet['bookings'], options: object): Promise<void> {
  for (const { url } of members) await fetch(`${url}/options`, { method: 'PUT', body: JSON.stringify(options) })
}

const BOOKING_FAULTS = { lateRate: 0.05, lateMs: 500, neverRate: 0.01, resetBeforeRate: 0.03, resetAfterRate: 0.03, truncateRate: 0.03 }
const NO_BOOKING_FAULTS = { lateRate: 0, neverRate: 0, resetBeforeRate: 0, resetAfterRate: 0, truncateRate: 0 }
const CONTROLS = ['c1', 'c2', 'c3']

/**
 * Faults of the experiment `delivery`. Router r1 is killed or paused, and r2 is partitioned from the control replicas.
 * r3 keeps running; in the last fault it loses the replies of the control replicas.
 */
export const FAULTS: readonly Fault[] = [
  {
    name: 'targets late, silent, resetting, truncating',
    begin: async fleet => {
      await setFaultOptions(fleet.bookings, BOOKING_FAULTS)
      await setFaultOptions(fleet.engines, { truncateRate: 0.05 })
    },
    end: async fleet => {
      await setFaultOptions(fleet.bookings, NO_BOOKING_FAULTS)
      await setFaultOptions(fleet.engines, { truncateRate: 0 })
    }
  },
  { name: 'router killed', begin: fleet => fleet.routers[0].kill(), end: fleet => fleet.routers[0].restart() },
  { name: 'router paused past its lease', begin: fleet => fleet.routers[0].signal('SIGSTOP'), end: fleet => fleet.routers[0].signal('SIGCONT') },
  { name: 'control replica killed', begin: fleet => fleet.controls[0].kill(), end: fleet => fleet.controls[0].restart() },
  { name: 'router cut off from control', begin: fleet => fleet.partition(['r2'], CONTROLS), end: fleet => fleet.heal() },
  {
    name: 'replies of control lost',
    begin: fleet => {
      for (const control of CONTROLS) fleet.proxies.get(`r3>${control}`)?.setRules({ toClient: { mode: 'drop' } })
    },
    end: fleet => fleet.heal()
  }
]
