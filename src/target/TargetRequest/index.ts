/**
 * @name TargetRequest
 * @category Target
 * @summary A request as it is sent to a target.
 *
 * @description
 * `confirmSend` is called right before the first byte is written. If it throws, nothing is written and the request
 * fails with outcome `not-run`. `answerDeadlineAtMs` (monotonic clock) limits the time to the head of the answer.
 *
 * @example
 * const request: TargetRequest = { url: 'http://127.0.0.1:8000', method: 'GET', path: '/bookings/7', headers: {} }
 */
export interface TargetRequest {
  /** Origin of the target. */
  url: string
  method: string
  path: string
  headers: Record<string, string | string[]>
  body?: Buffer
  signal?: AbortSignal
  answerDeadlineAtMs?: number
  confirmSend?: () => void
  /** Whether an event stream ends with a last event that the reader checks. */
  hasFinalEvent?: boolean
}
