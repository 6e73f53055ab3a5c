/**
 * @name CallTrace
 * @category Target
 * @summary Receives the spans of a call. RequestObservation implements it.
 *
 * @example
 * const trace: CallTrace = { traceHeaders: {}, startHop: () => ({ stop: () => {} }) }
 */
export interface CallTrace {
  /** Headers that propagate the trace context to the target. */
  readonly traceHeaders: Readonly<Record<string, string>>
  /** Starts the span of one step; `stop` ends it, as failed if it gets an error. */
  startHop: (hop: 'queue' | 'claim' | 'dispatch' | 'stream', attributes?: Record<string, string | number>) => { stop: (error?: unknown) => void }
}
