import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import type { Metrics } from '../Metrics'

const PREFIX = 'papayalead_'
const WAIT_BUCKETS_S = [0.001, 0.005, 0.02, 0.1, 0.5, 1, 5, 20, 60, 120]
const RESPONSE_BUCKETS_S = [0.005, 0.02, 0.1, 0.5, 1, 2, 5, 10, 30, 60, 120, 600]

type RequestResult = Parameters<Metrics['observeRequest']>[0]
type ReadingSource = Parameters<Metrics['registerReading']>[0]

/**
 * @name PrometheusMetrics
 * @category Telemetry
 * @summary Metrics of a process, kept in a prom-client registry.
 *
 * @param labels - Labels added to every series, for example the instance.
 *
 * @example
 * const metrics = new PrometheusMetrics({ instance: 'r1', zone: 'perth-a' })
 * metrics.observeWait('llama', 0.2)
 */
export class PrometheusMetrics implements Metrics {
  readonly #registry = new Registry()
  readonly #waits: Histogram
  readonly #responses: Histogram
  readonly #readDelays: Histogram
  /** Counted here, because the look-up of a series by its labels costs more than the count. */
  readonly #requests = new Map<string, { labels: Record<string, string>, value: number }>()

  constructor (labels: Record<string, string>) {
    this.#registry.setDefaultLabels(labels)
    collectDefaultMetrics({ register: this.#registry, prefix: PREFIX })
    const registers = [this.#registry]
    this.registerReading({ name: 'requests_total', help: 'Requests that ended.', labels: ['service', 'outcome', 'kind'], read: () => [...this.#requests.values()] })
    this.#readDelays = new Histogram({ name: `${PREFIX}read_delay_seconds`, help: 'Time that a request waited before it was read.', buckets: WAIT_BUCKETS_S, registers })
    this.#waits = new Histogram({ name: `${PREFIX}wait_seconds`, help: 'Time in the queue.', labelNames: ['service'], buckets: WAIT_BUCKETS_S, registers })
    this.#responses = new Histogram({ name: `${PREFIX}response_seconds`, help: 'Time from arrival to the end of the response.', labelNames: ['service'], buckets: RESPONSE_BUCKETS_S, registers })
  }

  observeRequest ({ service, outcome, kind }: RequestResult): void {
    const key = `${service}/${outcome}/${kind}`
    let series = this.#requests.get(key)
    if (!series) {
      series = { labels: { service, outcome, kind: kind ?? 'none' }, value: 0 }
      this.#requests.set(key, series)
    }
    series.value++
  }

  observeWait (service: string, seconds: number): void {
    this.#waits.observe({ service }, seconds)
  }

  observeResponse (service: string, seconds: number): void {
    this.#responses.observe({ service }, seconds)
  }

  observeReadDelay (seconds: number): void {
    this.#readDelays.observe(seconds)
  }

  registerReading (source: ReadingSource): void {
    const options = { name: PREFIX + source.name, help: source.help, labelNames: [...source.labels ?? []], registers: [this.#registry] }
    if (source.name.endsWith('_total')) this.#registerCounter(options, source)
    else this.#registerGauge(options, source)
  }

  render (): Promise<string> {
    return this.#registry.metrics()
  }

  #registerCounter (options: ConstructorParameters<typeof Counter>[0], source: ReadingSource): void {
    const counter = new Counter({
      ...options,
      collect () {
        this.reset()
        for (const { labels = {}, value } of source.read()) this.inc(labels, value)
      }
    })
    counter.reset()
  }

  #registerGauge (options: ConstructorParameters<typeof Gauge>[0], source: ReadingSource): void {
    const gauge = new Gauge({
      ...options,
      collect () {
        this.reset()
        for (const { labels = {}, value } of source.read()) this.set(labels, value)
      }
    })
    gauge.reset()
  }
}
