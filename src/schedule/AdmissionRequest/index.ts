/**
 * @name AdmissionRequest
 * @category Schedule
 * @summary Request for a slot, with the properties that admission and scheduling depend on.
 *
 * @example
 * const request: AdmissionRequest = { account: 'quotes', service: 'llama', estimate: 300, deadlineAtMs: performance.now() + 1000 }
 */
export interface AdmissionRequest {
  account: string
  service: string
  /** Expected cost in the unit of the service (tokens or calls). */
  estimate: number
  /** Time on the monotonic clock (`performance.now`). */
  deadlineAtMs: number
  signal?: AbortSignal
  /** Hash of the prompt's prefix, to find a target that has it cached. */
  prefixHash?: number
  /** Targets where an earlier attempt failed. */
  excludedTargets?: ReadonlySet<string>
}
