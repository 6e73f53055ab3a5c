/**
 * @name CallPlan
 * @category Load
 * @summary One request that the load generator will send.
 *
 * @description
 * `id` is sent as `x-request-id` and, for bookings, in the body as `bookingId`.
 *
 * @example
 * const plan: CallPlan = { id: '1-0', account: 'a', kind: 'read', url: 'http://127.0.0.1:8080', method: 'GET', path: '/services/booking/bookings/0', headers: {} }
 */
export interface CallPlan {
  id: string
  account: string
  kind: 'completion' | 'chat' | 'booking' | 'read'
  url: string
  method: 'GET' | 'POST'
  path: string
  headers: Record<string, string>
  body?: string
  /** For completions: what the answer must hold. */
  expected?: { prompt: string, tokens: number, isStreamed: boolean }
}
