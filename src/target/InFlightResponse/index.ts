import type { TargetResponse } from '../TargetResponse'

/**
 * @name InFlightResponse
 * @category Target
 * @summary The response of a target to a request that still holds its slot.
 *
 * @description
 * Exactly one of `settle` and `fail` must be called, once. Either releases the slot.
 *
 * @example
 * inFlight.charge(1)
 * inFlight.settle(12)
 */
export interface InFlightResponse {
  target: string
  response: TargetResponse
  /** Adds cost while the response streams. */
  charge: (cost: number) => void
  /** Ends a complete response; `cost` is its actual cost. */
  settle: (cost: number) => void
  /** Ends an incomplete response: the target truncated it or, with `isHealthy`, the caller disconnected. */
  fail: (result: { cost: number, isHealthy: boolean }) => void
}
