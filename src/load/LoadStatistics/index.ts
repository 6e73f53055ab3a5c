import type { Histogram } from 'hdr-histogram-js'
import { createHistogram } from '../_lib/createHistogram'
import type { CallPlan } from '../CallPlan'
import type { CallResult } from '../CallResult'
import type { LoadReport } from '../LoadReport'

type Figures = LoadReport['total']

/** Counts and histograms of one account, one kind of call, or all. */
class Series {
  readonly #outcomes: Record<string, number> = {}
  readonly #errorKinds: Record<string, number> = {}
  readonly #latency = createHistogram()
  readonly #service = createHistogram()
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
    recordMs(this.#service, result.serviceMs)
    if (result.firstByteMs !== undefined) recordMs(this.#firstByte, result.firstByteMs)
  }

  getFigures (): Figures {
    return {
      requests: this.#requests,
      outcomes: this.#outcomes,
      errorKinds: this.#errorKinds,
      tokens: this.#tokens,
      latency: getLatency(this.#latency),
      serviceTime: getLatency(this.#service),
      firstByte: getLatency(this.#firstByte)
    }
  }
}

/**
 * @name LoadStatistics
 * @category Load
 * @summary Collects results into the figures of a report.
 *
 * @param seed - Seed of the run, for the report.
 *
 * @example
 * statistics.record(plan, result)
 * const report = statistics.createReport(10)
 */
export class LoadStatistics {
  readonly #seed: number
  readonly #total = new Series()
  readonly #accounts = new Map<string, Series>()
  readonly #kinds = new Map<string, Series>()

  constructor (seed: number) {
    this.#seed = seed
  }

  record (plan: CallPlan, result: CallResult): void {
    this.#total.record(result)
    getSeries(this.#accounts, plan.account).record(result)
    getSeries(this.#kinds, plan.kind).record(result)
  }

  createReport (durationS: number): LoadReport {
    const total = this.#total.getFigures()
    return {
      seed: this.#seed,
      durationS,
      requestsPerS: total.requests / durationS,
      total,
      accounts: listFigures(this.#accounts),
      kinds: listFigures(this.#kinds)
    }
  }
}

function getSeries (map: Map<string, Series>, name: string): Series {
  const series = map.get(name) ?? new Series()
  map.set(name, series)
  return series
}

function listFigures (map: Map<string, Series>): Record<string, Figures> {
  return Object.fromEntries([...map].sort(([a], [b]) => a < b ? -1 : 1).map(([name, series]) => [name, series.getFigures()]))
}

function recordMs (histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(1, Math.round(ms * 1_000)))
}

function getLatency (histogram: Histogram): Figures['latency'] {
  const getMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1_000
  return { p50Ms: getMs(50), p90Ms: getMs(90), p99Ms: getMs(99), maxMs: histogram.maxValue / 1_000 }
}
