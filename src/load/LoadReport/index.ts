interface Latency {
  p50Ms: number
  p90Ms: number
  p99Ms: number
  maxMs: number
}

interface LoadFigures {
  requests: number
  /** Count for each outcome that occurred. */
  outcomes: Record<string, number>
  /** Count for each error kind that answers stated. */
  errorKinds: Record<string, number>
  tokens: number
  /** Of complete answers, from the planned start. */
  latency: Latency
  /** Of complete answers, from the actual start. */
  serviceTime: Latency
  /** Of complete answers, until the first byte of the body. */
  firstByte: Latency
}

/**
 * @name LoadReport
 * @category Load
 * @summary The figures of a run of the load generator.
 *
 * @description
 * `bookings` lists each booking with its last outcome, if the settings ask for it.
 *
 * @example
 * const report: LoadReport = await runLoad(settings)
 */
export interface LoadReport {
  seed: number
  durationS: number
  requestsPerS: number
  total: LoadFigures
  accounts: Record<string, LoadFigures>
  kinds: Record<string, LoadFigures>
  bookings?: Array<{ id: string, account: string, hasKey: boolean, outcome: string, attempts: number }>
}
