import type { Metrics } from '../Metrics'

interface Series {
  labels: Record<string, string>
  value: number
}

const LABEL = /(\w+)="([^"]*)"/g
const PREFIX_OF_LABELS = '{'

/**
 * @name MeterRegistry
 * @category Telemetry
 * @summary Counters and gauges that parts without a dependency on telemetry write by name.
 *
 * @description
 * A name may carry labels, as in `schedule_free_slots{service="llama"}`. All series of a name have the same labels.
 * Counters get the ending `_total`.
 *
 * @param metrics - Where the values are registered when a name is first used.
 *
 * @example
 * const meters = new MeterRegistry(new PrometheusMetrics({}))
 * meters.addCount('schedule_grants')
 * meters.setGauge('schedule_free_slots{service="llama"}', 3)
 */
export class MeterRegistry {
  readonly #metrics: Pick<Metrics, 'registerReading'>
  readonly #names = new Map<string, Map<string, Series>>()

  constructor (metrics: Pick<Metrics, 'registerReading'>) {
    this.#metrics = metrics
  }

  addCount (name: string, amount = 1): void {
    const [base, labels] = parseName(name)
    this.#getSeries(`${base}_total`, labels).value += amount
  }

  setGauge (name: string, value: number): void {
    const [base, labels] = parseName(name)
    this.#getSeries(base, labels).value = value
  }

  #getSeries (name: string, labelText: string): Series {
    const series = this.#names.get(name) ?? this.#registerName(name, labelText)
    const known = series.get(labelText)
    if (known) return known
    const added = { labels: parseLabels(labelText), value: 0 }
    series.set(labelText, added)
    return added
  }

  #registerName (name: string, labelText: string): Map<string, Series> {
    const series = new Map<string, Series>()
    this.#names.set(name, series)
    const labels = Object.keys(parseLabels(labelText))
    this.#metrics.registerReading({ name, help: name.replaceAll('_', ' '), labels, read: () => [...series.values()] })
    return series
  }
}

function parseName (name: string): [base: string, labels: string] {
  const index = name.indexOf(PREFIX_OF_LABELS)
  return index < 0 ? [name, ''] : [name.slice(0, index), name.slice(index)]
}

function parseLabels (text: string): Record<string, string> {
  return Object.fromEntries([...text.matchAll(LABEL)].map(([, name, value]) => [name, value]))
}
