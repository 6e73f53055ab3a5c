import type { AdmissionRequest } from '../AdmissionRequest'
import type { Slot } from '../Slot'

/**
 * @name AdmissionGate
 * @category Schedule
 * @summary Queues the requests of a router until they get a slot of a target.
 *
 * @description
 * `admit` resolves with a slot, or fails: `queue-full`, `deadline-exceeded`, `no-target`, `shutting-down`, or
 * `caller-gone` when the signal aborts. Each failure means that the request did not run.
 *
 * @example
 * const slot = await gate.admit({ account: 'quotes', service: 'llama', estimate: 300, deadlineAtMs, signal })
 */
export interface AdmissionGate {
  admit: (request: AdmissionRequest) => Promise<Slot>
  /** Number of queued requests. */
  countWaiting: () => number
  /** Number of slots of a target that requests of this router hold. */
  countRunning: (target: string) => number
  stop: () => Promise<void>
}
