/**
 * @name CallTrace
 * @category Target
 * @summary Where a call reports its steps. A RequestObservation is one.
 *
 * @example
 * const trace: CallTrace = { traceHeaders: {}, startHop: () => ({ stop: () => {} }) }
 */
export interface CallTrace {
  /** Headers that carry the trace to the target. */
  readonly traceHeaders: Readonly<Record<string, string>>
  startHop: (hop: 'queue' | 'claim' | 'dispatch' | 'stream', attributes?: Record<string, string | number>) => { stop: (error?: unknown) => void }
}
