import type { Histogram } from 'hdr-histogram-js'
import { createHistogram } from '../_lib/createHistogram'
import type { CallPlan } from '../CallPlan'
import type { CallResult } from '../CallResult'
import type { LoadReport } from '../LoadReport'

type Metrics = LoadReport['total']

/** Collects counts and histograms for one account, one kind of call, or all requests. */
class MetricsCollector {
  readonly #outcomes: Record<string, number> = {}
  readonly #errorKinds: Record<string, number> = {}
  readonly #latency = createHistogram()
  readonly #serviceTime = createHistogram()
  readonly #firstByte = createHistogram()
  #requests = 0
  #tokens = 0

  record (result: CallResult): void {
    this.#requests++
    this.#tokens += result.tokens
    this.#outcomes[result.outcome] = (this.#outcomes[result.outcome] ?? 0) + 1
    if (result.errorKind) this.#errorKinds[result.errorKind] = (this.#errorKinds[result.errorKind] ?? 0) + 1
    if (result.outcome !== 'complete') return
    recordMs(this.#latency, result.latencyMs)
    recordMs(this.#serviceTime, result.serviceMs)
    if (result.firstByteMs !== undefined) recordMs(this.#firstByte, result.firstByteMs)
  }

  getMetrics (): Metrics {
    return {
      requests: this.#requests,
      outcomes: this.#outcomes,
      errorKinds: this.#errorKinds,
      tokens: this.#tokens,
      latency: getPercentiles(this.#latency),
      serviceTime: getPercentiles(this.#serviceTime),
      firstByte: getPercentiles(this.#firstByte)
    }
  }
}

/**
 * @name LoadStatistics
 * @category Load
 * @summary Aggregates results into the metrics of a report, in total and by account and kind of call.
 *
 * @param seed - Seed of the run, included in the report.
 *
 * @example
 * statistics.record(plan, result)
 * const report = statistics.createReport(10)
 */
export class LoadStatistics {
  readonly #seed: number
  readonly #total = new MetricsCollector()
  readonly #accounts = new Map<string, MetricsCollector>()
  readonly #kinds = new Map<string, MetricsCollector>()

  constructor (seed: number) {
    this.#seed = seed
  }

  record (plan: CallPlan, result: CallResult): void {
    this.#total.record(result)
    getCollector(this.#accounts, plan.account).record(result)
    getCollector(this.#kinds, plan.kind).record(result)
  }

  createReport (durationS: number): LoadReport {
    const total = this.#total.getMetrics()
    return {
      seed: this.#seed,
      durationS,
      requestsPerS: total.requests / durationS,
      total,
      accounts: listMetrics(this.#accounts),
      kinds: listMetrics(this.#kinds)
    }
  }
}

function getCollector (map: Map<string, MetricsCollector>, name: string): MetricsCollector {
  const collector = map.get(name) ?? new MetricsCollector()
  map.set(name, collector)
  return collector
}

function listMetrics (map: Map<string, MetricsCollector>): Record<string, Metrics> {
  return Object.fromEntries([...map].sort(([a], [b]) => a < b ? -1 : 1).map(([name, collector]) => [name, collector.getMetrics()]))
}

/** Histograms hold whole microseconds, at least 1. */
function recordMs (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * 1_000)))
}

function getPercentiles (histogram: Histogram): Metrics['latency'] {
  const getMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1_000
  return { p50Ms: getMs(50), p90Ms: getMs(90), p99Ms: getMs(99), maxMs: histogram.maxValue / 1_000 }
}
