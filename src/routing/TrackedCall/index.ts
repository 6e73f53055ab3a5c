import type { RunningPlacement } from '../../contract/RunningPlacement'

/**
 * @name TrackedCall
 * @category Routing
 * @summary A call that a scheduler counts as running.
 *
 * @example
 * const ageMs = nowMs - call.startedMs
 */
export interface TrackedCall extends RunningPlacement {
  /** When the scheduler placed or adopted the call, in milliseconds of its monotonic clock. */
  startedMs: number
  /** Whether a router reported the call; otherwise the scheduler placed it. */
  isAdopted: boolean
}
