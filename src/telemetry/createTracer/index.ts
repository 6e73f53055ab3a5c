import { ROOT_CONTEXT, SpanStatusCode, TraceFlags, trace, type Context, type Span } from '@opentelemetry/api'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { AlwaysOnSampler, BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler } from '@opentelemetry/sdk-trace-base'
import { JsonLinesSpanExporter } from '../JsonLinesSpanExporter'
import { noopTracer } from '../noopTracer'
import type { TraceContext } from '../TraceContext'
import type { Tracer } from '../Tracer'

const EXPORT_DELAY_MS = 500

interface CreateTracerOptions {
  instance: string
  zone: string
  /** Without it, no spans are recorded, and a caller's `traceparent` is forwarded unchanged. */
  traceFile?: string
  onError: (error: Error) => void
}

/**
 * @name createTracer
 * @category Telemetry
 * @summary Creates a tracer that writes ended spans to a file.
 *
 * @description
 * Spans of a request are not written if its `traceparent` header says that it is not sampled.
 *
 * @param options - Instance, availability zone, file and a handler of its write errors.
 * @returns The tracer. `close` writes the buffered spans.
 *
 * @example
 * const tracer = createTracer({ instance: 'r1', zone: 'perth-a', onError: () => {} })
 */
export function createTracer (options: CreateTracerOptions): Tracer {
  if (options.traceFile === undefined) return noopTracer
  const exporter = new JsonLinesSpanExporter(options.traceFile, { onError: options.onError })
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({ 'service.name': 'papayalead', 'service.instance.id': options.instance, 'cloud.availability_zone': options.zone }),
    sampler: new ParentBasedSampler({ root: new AlwaysOnSampler() }),
    spanProcessors: [new BatchSpanProcessor(exporter, { scheduledDelayMillis: EXPORT_DELAY_MS })]
  })
  const tracer = provider.getTracer('papayalead')
  return {
    startSpan: (name, { parent, attributes } = {}) => wrapSpan(tracer.startSpan(name, { attributes }, createContext(parent))),
    close: () => provider.shutdown()
  }
}

function createContext (parent: TraceContext | undefined): Context {
  if (!parent) return ROOT_CONTEXT
  const { traceId, spanId, isSampled } = parent
  return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, isRemote: true, traceFlags: isSampled ? TraceFlags.SAMPLED : TraceFlags.NONE })
}

function wrapSpan (span: Span): ReturnType<Tracer['startSpan']> {
  const { traceId, spanId, traceFlags } = span.spanContext()
  return {
    context: { traceId, spanId, isSampled: (traceFlags & TraceFlags.SAMPLED) !== 0 },
    setAttributes: attributes => { span.setAttributes(attributes) },
    stop: error => {
      if (error !== undefined) span.setStatus({ code: SpanStatusCode.ERROR, message: error instanceof Error ? error.message : String(error) })
      span.end()
    }
  }
}
