import type { ErrorKind } from '../../contract/ErrorKind'
import type { Outcome } from '../../contract/Outcome'

interface Reading {
  labels?: Record<string, string>
  value: number
}

interface ReadingSource {
  /** Without the prefix `papayalead_`. A name that ends in `_total` is exported as a counter, others as a gauge. */
  name: string
  help: string
  labels?: readonly string[]
  read: () => readonly Reading[]
}

/**
 * @name Metrics
 * @category Telemetry
 * @summary The metrics of a process.
 *
 * @description
 * `registerReading` adds a metric whose values are read when the metrics are rendered, which costs nothing on the
 * request path. Service names must come from the settings; otherwise callers could create any number of series.
 *
 * @example
 * metrics.registerReading({ name: 'queue_length', help: 'Waiting requests.', read: () => [{ value: gate.countWaiting() }] })
 */
export interface Metrics {
  observeRequest: (request: { service: string, outcome: Outcome, kind?: ErrorKind }) => void
  observeWait: (service: string, seconds: number) => void
  observeResponse: (service: string, seconds: number) => void
  /** Time that a request waited before it was read. */
  observeReadDelay: (seconds: number) => void
  registerReading: (source: ReadingSource) => void
  /** Renders all metrics in the Prometheus text exposition format. */
  render: () => Promise<string>
}
