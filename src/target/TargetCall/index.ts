import type { CallTrace } from '../CallTrace'

/**
 * @name TargetCall
 * @category Target
 * @summary A caller's request that is to run on some target of a service.
 *
 * @description
 * Times are of the monotonic clock. `isIdempotent` allows another attempt after bytes were sent. `confirmSend` is
 * called right before the first byte of each attempt; if it throws, the attempt is not sent.
 *
 * @example
 * const call: TargetCall = { account: 'quotes', service: 'booking', estimate: 1, deadlineAtMs, signal, isIdempotent: true, isCompletion: false, method: 'GET', path: '/bookings/7', headers: {}, trace }
 */
export interface TargetCall {
  account: string
  service: string
  estimate: number
  deadlineAtMs: number
  signal: AbortSignal
  isIdempotent: boolean
  method: string
  path: string
  headers: Record<string, string | string[]>
  body?: Buffer
  trace: CallTrace
  confirmSend?: () => void
  /** Completions end event streams with `[DONE]` and report their usage. */
  isCompletion: boolean
}
