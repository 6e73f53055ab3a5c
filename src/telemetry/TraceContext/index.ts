/**
 * @name TraceContext
 * @category Telemetry
 * @summary Identity of a span, as defined by W3C Trace Context.
 *
 * @example
 * const context: TraceContext = { traceId: '0af7651916cd43dd8448eb211c80319c', spanId: 'b7ad6b7169203331', isSampled: true }
 */
export interface TraceContext {
  /** 32 hexadecimal digits. */
  readonly traceId: string
  /** 16 hexadecimal digits. */
  readonly spanId: string
  readonly isSampled: boolean
}
