import type { SettingsView } from '../../configuration/SettingsView'
import type { RouterStatus } from '../../contract/RouterStatus'
import type { AdmissionGate } from '../../schedule/AdmissionGate'
import type { RequestCounts } from '../../telemetry/RequestCounts'

const REPORT_INTERVAL_MS = 2_000
/** Debounce delay of reports after settings changes, so that a burst of changes causes one report. */
const CHANGE_DELAY_MS = 20
const DRAIN_REPORT_INTERVAL_MS = 200
const MAX_ACCOUNTS = 200
/**
 * Up to this many entries, every report has all details. With more entries, such reports would exceed the control
 * traffic that a node may cause.
 */
const MAX_ALWAYS_DETAILED_ENTRIES = 32
const DETAIL_INTERVAL_MS = 30_000

interface StatusReporterOptions {
  view: SettingsView
  gate: Pick<AdmissionGate, 'countWaiting'>
  /** Requests of this router on a target, including those whose slot is released but whose response is not complete. */
  countRunning: (target: string) => number
  counts: RequestCounts
  isReady: () => boolean
  /** Targets to which this router sends no new work, for whatever reason. */
  listDraining: () => string[]
  /** The control replicas. */
  control: ReadonlyArray<{ send: (type: string, body: unknown) => unknown }>
}

/**
 * @name StatusReporter
 * @category Instance
 * @summary Reports the status of a router to every control replica.
 *
 * @description
 * Reports every 2 s and after each change of the settings. While requests run on a draining target it reports every
 * 200 ms, so that the end of the last one is known soon. If there are many entries, most reports leave out the counts of
 * targets in service and of accounts.
 *
 * @param options - Sources of the status, and the links to the control replicas.
 *
 * @example
 * const reporter = new StatusReporter(options)
 * reporter.start()
 * reporter.stop()
 */
export class StatusReporter {
  readonly #options: StatusReporterOptions
  #timer?: NodeJS.Timeout
  #detailSentAtMs = -Infinity
  #removeListener = (): void => {}

  constructor (options: StatusReporterOptions) {
    this.#options = options
  }

  start (): void {
    this.#removeListener = this.#options.view.subscribe(() => this.#schedule(CHANGE_DELAY_MS))
    this.#schedule(0)
  }

  stop (): void {
    clearTimeout(this.#timer)
    this.#removeListener()
  }

  #schedule (delayMs: number): void {
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => this.#report(), delayMs)
  }

  #report (): void {
    const status = this.#createStatus()
    for (const replica of this.#options.control) replica.send('reportStatus', status)
    const hasDrainingWork = status.running.some(([target]) => status.draining.includes(target))
    this.#schedule(hasDrainingWork ? DRAIN_REPORT_INTERVAL_MS : REPORT_INTERVAL_MS)
  }

  #createStatus (): RouterStatus {
    const { view, gate, countRunning, counts, isReady, listDraining } = this.#options
    const draining = listDraining()
    const running = view.listAllTargets()
      .map(({ name }): [string, number] => [name, countRunning(name)])
      .filter(([, count]) => count > 0)
    const accounts = [...counts.list()].slice(0, MAX_ACCOUNTS).map(([name, { waiting, running }]): [string, number, number] => [name, waiting, running])
    const base = { offset: view.offset, isReady: isReady(), waiting: gate.countWaiting(), draining }
    if (this.#isDetailDue(running.length + accounts.length)) return { ...base, running, accounts }
    return { ...base, running: running.filter(([target]) => draining.includes(target)) }
  }

  #isDetailDue (entries: number): boolean {
    const nowMs = performance.now()
    if (entries > MAX_ALWAYS_DETAILED_ENTRIES && nowMs - this.#detailSentAtMs < DETAIL_INTERVAL_MS) return false
    this.#detailSentAtMs = nowMs
    return true
  }
}
