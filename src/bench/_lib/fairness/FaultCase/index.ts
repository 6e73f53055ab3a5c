import type { AccountLoad } from '../AccountLoad'
import type { FairnessRun } from '../FairnessRun'

/** A fault of the fairness experiment. */
export interface FaultCase {
  name: string
  loads: readonly AccountLoad[]
  /** When the gap is measured from: the end of the fault and its settling time. */
  settledAtMs: number
  /** Schedules the fault. */
  schedule: (run: FairnessRun) => void
}
