import { createWriteStream, type WriteStream } from 'node:fs'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base'

const FAILED_STATUS = 2
const EXPORT_SUCCEEDED = 0
const EXPORT_FAILED = 1
const MICROSECONDS_PER_SECOND = 1_000_000
const NANOSECONDS_PER_MICROSECOND = 1_000

type ExportCallback = Parameters<SpanExporter['export']>[1]

/**
 * @name JsonLinesSpanExporter
 * @category Telemetry
 * @summary Appends each ended span to a file as a line of JSON.
 *
 * @description
 * Fields: `traceId`, `spanId`, `parentSpanId`, `name`, `startUs` (microseconds since the epoch), `durationUs`,
 * `instance`, `attributes`, `error` (message, if the span failed). An error of the file is reported once to `onError`;
 * spans are dropped from then on, because a full disk must not stop requests.
 *
 * @param file - Path of the file.
 * @param options - `onError`: called when opening or writing the file fails.
 *
 * @example
 * const exporter = new JsonLinesSpanExporter('/var/log/papayalead/spans.jsonl', { onError: () => {} })
 */
export class JsonLinesSpanExporter implements SpanExporter {
  readonly #stream: WriteStream
  #hasFailed = false

  constructor (file: string, options: { onError: (error: Error) => void }) {
    this.#stream = createWriteStream(file, { flags: 'a' })
    this.#stream.on('error', error => {
      this.#hasFailed = true
      options.onError(error)
    })
  }

  // eslint-disable-next-line local/no-unlisted-verb -- the name is set by the interface of the OpenTelemetry SDK
  export (spans: ReadableSpan[], onResult: ExportCallback): void {
    if (this.#hasFailed) return onResult({ code: EXPORT_FAILED })
    const lines = spans.map(span => `${JSON.stringify(convertSpan(span))}\n`).join('')
    this.#stream.write(lines, error => onResult({ code: error ? EXPORT_FAILED : EXPORT_SUCCEEDED }))
  }

  // eslint-disable-next-line local/no-unlisted-verb -- the name is set by the interface of the OpenTelemetry SDK
  shutdown (): Promise<void> {
    if (this.#hasFailed) return Promise.resolve()
    return new Promise(resolve => this.#stream.end(() => resolve()))
  }
}

function convertSpan (span: ReadableSpan): Record<string, unknown> {
  const { traceId, spanId } = span.spanContext()
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    startUs: convertToMicroseconds(span.startTime),
    durationUs: convertToMicroseconds(span.duration),
    instance: span.resource.attributes['service.instance.id'],
    attributes: span.attributes,
    error: span.status.code === FAILED_STATUS ? span.status.message ?? '' : undefined
  }
}

function convertToMicroseconds ([seconds, nanoseconds]: [number, number]): number {
  return seconds * MICROSECONDS_PER_SECOND + Math.round(nanoseconds / NANOSECONDS_PER_MICROSECOND)
}
