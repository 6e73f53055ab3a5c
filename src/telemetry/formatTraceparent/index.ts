import type { TraceContext } from '../TraceContext'

/**
 * @name formatTraceparent
 * @category Telemetry
 * @summary Formats a trace context as the value of a `traceparent` header.
 *
 * @param context - Context of the span that becomes the parent at the receiver.
 * @returns The value of the header in version `00`.
 *
 * @example
 * formatTraceparent({ traceId: 'a'.repeat(32), spanId: 'b'.repeat(16), isSampled: true }).endsWith('-01') // true
 */
export function formatTraceparent (context: TraceContext): string {
  return `00-${context.traceId}-${context.spanId}-${context.isSampled ? '01' : '00'}`
}
