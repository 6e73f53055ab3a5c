/**
 * @name CallPlan
 * @category Load
 * @summary A planned request of the load generator.
 *
 * @example
 * const plan: CallPlan = { id: '1-0', account: 'a', kind: 'read', url: 'http://127.0.0.1:8080', method: 'GET', path: '/services/booking/bookings/0', headers: {} }
 */
export interface CallPlan {
  /** Sent as `x-request-id` and, for bookings, in the body as `bookingId`. */
  id: string
  account: string
  kind: 'completion' | 'chat' | 'booking' | 'read'
  url: string
  method: 'GET' | 'POST'
  path: string
  headers: Record<string, string>
  body?: string
  /** For completions: the prompt and the number of tokens, from which the expected response is derived. */
  expected?: { prompt: string, tokens: number, isStreamed: boolean }
}
