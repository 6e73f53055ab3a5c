import type { TraceContext } from '../TraceContext'

interface RunningSpan {
  readonly context: TraceContext
  setAttributes: (attributes: Record<string, string | number>) => void
  /** Ends the span; an error marks it as failed. */
  stop: (error?: unknown) => void
}

interface StartSpanOptions {
  parent?: TraceContext
  attributes?: Record<string, string | number>
}

/**
 * @name Tracer
 * @category Telemetry
 * @summary Starts spans.
 *
 * @example
 * const span = tracer.startSpan('queue', { parent })
 * span.stop()
 */
export interface Tracer {
  startSpan: (name: string, options?: StartSpanOptions) => RunningSpan
  /** Flushes ended spans to the exporter. */
  close: () => Promise<void>
}
