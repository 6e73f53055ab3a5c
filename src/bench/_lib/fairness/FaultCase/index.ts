import type { AccountLoad } from '../AccountLoad'
import type { FairnessRun } from '../FairnessRun'

/** A fault of the fairness experiment. */
export interface FaultCase {
  name: string
  loads: readonly AccountLoad[]
  /** Start of the gap measurement, after the fault has ended and its settling time has passed. */
  settledAtMs: number
  /** Schedules the fault. */
  schedule: (run: FairnessRun) => void
}
