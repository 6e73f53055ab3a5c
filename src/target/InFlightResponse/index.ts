import type { TargetResponse } from '../TargetResponse'

/**
 * @name InFlightResponse
 * @category Target
 * @summary The answer of a target that still holds its slot.
 *
 * @description
 * Exactly one of `settle` and `fail` must be called. `settle`: the answer is complete; `cost` is the actual cost.
 * `fail`: the target broke off, or, with `isHealthy`, the caller left.
 *
 * @example
 * answer.charge(1)
 * answer.settle(12)
 */
export interface InFlightResponse {
  target: string
  response: TargetResponse
  charge: (cost: number) => void
  settle: (cost: number) => void
  fail: (result: { cost: number, isHealthy: boolean }) => void
}
