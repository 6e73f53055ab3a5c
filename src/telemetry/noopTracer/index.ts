import { createHexId } from '../createHexId'
import type { Tracer } from '../Tracer'

const TRACE_ID_DIGITS = 32
const SPAN_ID_DIGITS = 16

/**
 * @name noopTracer
 * @category Telemetry
 * @summary Tracer that exports no spans.
 *
 * @description
 * Its spans have the context of their parent, so that a caller's `traceparent` reaches the target unchanged.
 *
 * @example
 * noopTracer.startSpan('request').stop()
 */
export const noopTracer: Tracer = {
  startSpan: (_name, options) => ({
    context: options?.parent ?? {
      traceId: createHexId(TRACE_ID_DIGITS),
      spanId: createHexId(SPAN_ID_DIGITS),
      isSampled: false
    },
    setAttributes: () => {},
    stop: () => {}
  }),
  close: () => Promise.resolve()
}
