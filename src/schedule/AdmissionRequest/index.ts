/**
 * @name AdmissionRequest
 * @category Schedule
 * @summary What the scheduler needs to know about a request.
 *
 * @description
 * `estimate`: expected cost in the unit of the service (tokens or calls). `deadlineAtMs`: monotonic clock
 * (`performance.now`). `prefixHash`: hash of the prompt's prefix, to find a target that has it cached.
 * `excludedTargets`: targets where an earlier attempt failed.
 *
 * @example
 * const request: AdmissionRequest = { account: 'quotes', service: 'llama', estimate: 300, deadlineAtMs: performance.now() + 1000 }
 */
export interface AdmissionRequest {
  account: string
  service: string
  estimate: number
  deadlineAtMs: number
  signal?: AbortSignal
  prefixHash?: number
  excludedTargets?: ReadonlySet<string>
}
