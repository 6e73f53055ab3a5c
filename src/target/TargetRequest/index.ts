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
  headers: Record<string, string>
  body?: Buffer
  signal?: AbortSignal
}
