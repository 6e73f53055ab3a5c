import type { LoadReport } from '../../contract/LoadReport'
import type { LoadSummary } from '../../contract/LoadSummary'

/** A router that has not reported for this time counts as stopped; its requests ended with it. */
const REPORT_TTL_MS = 1_500

type Row = LoadReport['targets'][number]
type Report = Pick<LoadReport, 'targets'>

interface TargetSum {
  /** Number of rows in the sum. */
  rows: number
  running: number
  tokens: number
}

const NO_ROWS: Readonly<TargetSum> = { rows: 0, running: 0, tokens: 0 }

/**
 * @name LoadTable
 * @category Routing
 * @summary Newest load report of each router, summed up for the other routers.
 *
 * @description
 * The sums are updated with each report, so that the cost of a report does not grow with the number of routers. Soft
 * state: a new leader rebuilds it from the next report of each router.
 *
 * @example
 * const table = new LoadTable()
 * table.record('edge-1', { targets: [['i-1', 1, 900]] }, 0)
 * table.computeSummary('edge-2', 10) // { routers: 1, targets: [['i-1', 1, 900]] }
 */
export class LoadTable {
  /** Reports by router, oldest first. */
  readonly #reports = new Map<string, { report: Report, atMs: number }>()
  /** Sums over all reports by target. */
  readonly #sums = new Map<string, TargetSum>()

  record (router: string, report: Report, nowMs: number): void {
    this.#remove(router)
    this.#reports.set(router, { report, atMs: nowMs })
    addRows(this.#sums, report.targets, 1)
  }

  /** Sums the loads of the routers that reported recently, except the given one; `routers` counts all of them. */
  computeSummary (router: string, nowMs: number): Pick<LoadSummary, 'routers' | 'targets'> {
    this.#expire(nowMs)
    const own = new Map<string, TargetSum>()
    addRows(own, this.#reports.get(router)?.report.targets ?? [], 1)
    const targets: Row[] = []
    for (const [target, sum] of this.#sums) {
      const { rows, running, tokens } = own.get(target) ?? NO_ROWS
      if (sum.rows > rows) targets.push([target, sum.running - running, sum.tokens - tokens])
    }
    return { routers: Math.max(1, this.#reports.size), targets }
  }

  #expire (nowMs: number): void {
    for (const [router, { atMs }] of this.#reports) {
      if (nowMs - atMs <= REPORT_TTL_MS) return
      this.#remove(router)
    }
  }

  #remove (router: string): void {
    addRows(this.#sums, this.#reports.get(router)?.report.targets ?? [], -1)
    this.#reports.delete(router)
  }
}

/** Adds rows to sums by target, or removes them with the sign -1. */
function addRows (sums: Map<string, TargetSum>, rows: readonly Row[], sign: 1 | -1): void {
  for (const [target, running, tokens] of rows) {
    const sum = sums.get(target) ?? { ...NO_ROWS }
    sums.set(target, sum)
    sum.rows += sign
    sum.running += sign * running
    sum.tokens += sign * tokens
    if (sum.rows === 0) sums.delete(target)
  }
}
