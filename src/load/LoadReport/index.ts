interface Latency {
  p50Ms: number
  p90Ms: number
  p99Ms: number
  maxMs: number
}

interface LoadMetrics {
  requests: number
  /** Number of requests by outcome. */
  outcomes: Record<string, number>
  /** Number of requests by the error kind of the response. */
  errorKinds: Record<string, number>
  tokens: number
  /** Time from the planned start to the end of the response, for complete requests. */
  latency: Latency
  /** Time from the actual start to the end of the response, for complete requests. */
  serviceTime: Latency
  /** Time from the planned start to the first byte of the body, for complete requests. */
  firstByte: Latency
}

/**
 * @name LoadReport
 * @category Load
 * @summary Metrics of a load generator run.
 *
 * @example
 * const report: LoadReport = await runLoad(settings)
 */
export interface LoadReport {
  seed: number
  durationS: number
  requestsPerS: number
  total: LoadMetrics
  accounts: Record<string, LoadMetrics>
  kinds: Record<string, LoadMetrics>
  /** Each booking with its last outcome; present if `listsBookings` is set. */
  bookings?: Array<{ id: string, account: string, hasKey: boolean, outcome: string, attempts: number }>
}
