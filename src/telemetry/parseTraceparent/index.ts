import type { TraceContext } from '../TraceContext'

const TRACEPARENT = /^([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$/
const ALL_ZEROS = /^0+$/
const SAMPLED_FLAG = 0x01

/**
 * @name parseTraceparent
 * @category Telemetry
 * @summary Parses a `traceparent` header into a trace context.
 *
 * @description
 * Follows W3C Trace Context: version `ff`, all-zero ids and additional fields in version `00` are invalid.
 *
 * @param header - Value of the header, if any.
 * @returns The context, or undefined if the header is absent or invalid.
 *
 * @example
 * parseTraceparent('00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01')?.isSampled // true
 */
export function parseTraceparent (header: string | undefined): TraceContext | undefined {
  const match = TRACEPARENT.exec(header ?? '')
  if (!match) return undefined
  const [, version, traceId, spanId, flags, rest] = match
  if (version === 'ff' || (version === '00' && rest !== undefined)) return undefined
  if (ALL_ZEROS.test(traceId) || ALL_ZEROS.test(spanId)) return undefined
  return { traceId, spanId, isSampled: (Number.parseInt(flags, 16) & SAMPLED_FLAG) !== 0 }
}
