import type { CallTrace } from '../CallTrace'

/**
 * @name TargetCall
 * @category Target
 * @summary A caller's request that is to run on one of the targets of a service.
 *
 * @description
 * Times are milliseconds of the monotonic clock.
 *
 * @example
 * const call: TargetCall = { account: 'quotes', service: 'booking', estimate: 1, deadlineAtMs, signal, isIdempotent: true, isCompletion: false, method: 'GET', path: '/bookings/7', headers: {}, trace }
 */
export interface TargetCall {
  account: string
  service: string
  /** Expected cost, in tokens or calls. */
  estimate: number
  /** Latest time for the headers of the response; limits the wait for a slot too. */
  deadlineAtMs: number
  /** Aborts when the caller disconnects or the router interrupts the call. */
  signal: AbortSignal
  /** Allows another attempt after bytes were sent. */
  isIdempotent: boolean
  method: string
  path: string
  headers: Record<string, string | string[]>
  body?: Buffer
  trace: CallTrace
  /** Called right before the first byte of each attempt; if it throws, the attempt is not sent. */
  confirmSend?: () => void
  /** Completions end event streams with `[DONE]` and report their usage. */
  isCompletion: boolean
}
