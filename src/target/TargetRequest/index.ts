/**
 * @name TargetRequest
 * @category Target
 * @summary A request as it is sent to a target.
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
  /** Latest time for the headers of the response, in milliseconds of the monotonic clock. */
  headersDeadlineAtMs?: number
  /**
   * Called right before the first byte is written. If it throws, nothing is written and the request fails with outcome
   * `not-run`.
   */
  confirmSend?: () => void
}
