import type { Metrics } from '../Metrics'

interface Series {
  labels: Record<string, string>
  value: number
}

const LABEL_PATTERN = /(\w+)="([^"]*)"/g
const LABELS_START = '{'

/**
 * @name MeterRegistry
 * @category Telemetry
 * @summary Counters and gauges by name, for components that do not depend on the telemetry code.
 *
 * @description
 * A name may have labels, as in `schedule_free_slots{service="llama"}`. All series of a name must have the same label
 * names.
 * The suffix `_total` is appended to the names of counters.
 *
 * @param metrics - Where a metric is registered when its name is first used.
 *
 * @example
 * const meters = new MeterRegistry(new PrometheusMetrics({}))
 * meters.addCount('schedule_grants')
 * meters.setGauge('schedule_free_slots{service="llama"}', 3)
 */
export class MeterRegistry {
  readonly #metrics: Pick<Metrics, 'registerReading'>
  readonly #seriesByName = new Map<string, Map<string, Series>>()

  constructor (metrics: Pick<Metrics, 'registerReading'>) {
    this.#metrics = metrics
  }

  addCount (name: string, amount = 1): void {
    const [baseName, labels] = parseName(name)
    this.#getSeries(`${baseName}_total`, labels).value += amount
  }

  setGauge (name: string, value: number): void {
    const [base, labels] = parseName(name)
    this.#getSeries(base, labels).value = value
  }

  #getSeries (name: string, labelText: string): Series {
    const series = this.#seriesByName.get(name) ?? this.#registerName(name, labelText)
    const existing = series.get(labelText)
    if (existing) return existing
    const added = { labels: parseLabels(labelText), value: 0 }
    series.set(labelText, added)
    return added
  }

  #registerName (name: string, labelText: string): Map<string, Series> {
    const series = new Map<string, Series>()
    this.#seriesByName.set(name, series)
    const labels = Object.keys(parseLabels(labelText))
    this.#metrics.registerReading({ name, help: name.replaceAll('_', ' '), labels, read: () => [...series.values()] })
    return series
  }
}

function parseName (name: string): [base: string, labels: string] {
  const index = name.indexOf(LABELS_START)
  return index < 0 ? [name, ''] : [name.slice(0, index), name.slice(index)]
}

function parseLabels (text: string): Record<string, string> {
  return Object.fromEntries([...text.matchAll(LABEL_PATTERN)].map(([, name, value]) => [name, value]))
}
