import type { FairnessRun } from '../FairnessRun'
import type { FaultCase } from '../FaultCase'
import { listAccountLoads } from '../listAccountLoads'

const FAULT_AT_MS = 60_000
const FAULT_MS = 20_000
/** The longest request takes 30 s, so slots granted during the fault are free again after this time. */
const SETTLING_MS = 40_000
const SETTLED_AT_MS = FAULT_AT_MS + FAULT_MS + SETTLING_MS

function stopScheduler (run: FairnessRun): void {
  const scheduler = run.routers.find(router => router.zone === 'zone-a' && router.isAlive && router.isLeading)
  if (!scheduler) return
  run.stopRouter(scheduler)
  run.clock.schedule(FAULT_MS / 2, () => scheduler.start())
}

function setPartition (run: FairnessRun, isIsolated: (instance: string, zone: string) => boolean): void {
  run.network.setPartition((from, to) => isIsolated(from.instance, from.zone) !== isIsolated(to.instance, to.zone), run.routers)
  run.clock.schedule(FAULT_MS, () => run.network.setPartition(() => false, run.routers))
}

/** Lists the faults after which the service gap has to be within its bound again. */
export function listFaultCases (): FaultCase[] {
  const loads = listAccountLoads()
  const base = { loads, settledAtMs: SETTLED_AT_MS }
  const scheduleFault = (run: FairnessRun, start: () => void): void => run.clock.schedule(FAULT_AT_MS, start)
  return [
    { ...base, name: 'cold start', settledAtMs: SETTLING_MS, schedule: () => {} },
    { ...base, name: 'scheduler lost and replaced', schedule: run => scheduleFault(run, () => stopScheduler(run)) },
    { ...base, name: 'router partitioned', schedule: run => scheduleFault(run, () => setPartition(run, instance => instance === 'r4')) },
    { ...base, name: 'zone partitioned and rejoined', schedule: run => scheduleFault(run, () => setPartition(run, (_, zone) => zone === 'zone-a')) },
    {
      ...base,
      name: 'zone partitioned and scheduler lost',
      schedule: run => scheduleFault(run, () => {
        setPartition(run, (_, zone) => zone === 'zone-a')
        run.clock.schedule(FAULT_MS / 4, () => stopScheduler(run))
      })
    },
    {
      ...base,
      name: 'account idle, then returns',
      loads: loads.map(load => load.name === 'large-2' ? { ...load, idleFromMs: FAULT_AT_MS, idleUntilMs: FAULT_AT_MS + FAULT_MS } : load),
      schedule: () => {}
    },
    {
      ...base,
      name: 'hints ten times off',
      loads: loads.map(load => ({ ...load, hintFactor: load.name === 'large-1' ? 10 : load.name === 'large-2' ? 0.1 : 1 })),
      schedule: () => {}
    },
    { ...base, name: 'target lost with streams under way', schedule: run => scheduleFault(run, () => run.removeTarget('e0')) }
  ]
}
