import type { ObserverReport } from '../../contract/ObserverReport'

const POLL_INTERVAL_MS = 50

interface WaitForObserversOptions {
  /** Offset that every live observer must reach. */
  offset: number
  timeoutMs: number
  /** Reports of all replicas; the newest report of an instance counts. */
  collectReports: () => Promise<ObserverReport[]>
  /** Whether every live observer has had time to report; false right after a replica has started. */
  isSettled: () => boolean
}

interface EffectReport {
  /** Live observers that have applied the offset. */
  applied: string[]
  /** Live observers that have not reported the offset within the time limit. */
  behind: string[]
  /** False if some live observers may be in neither list. */
  isComplete: boolean
}

/**
 * @name waitForObservers
 * @category Configuration
 * @summary Waits until a change is in effect on every live observer.
 *
 * @description
 * An observer counts as live as long as its reports arrive, so the set of live observers may change during the wait.
 * An instance that reports to no replica is not in the result. Until `isSettled` returns true, live observers may be
 * missing from the reports, and the wait continues up to the time limit.
 *
 * @param options - Offset, time limit in milliseconds, source of the reports.
 * @returns Observers that have applied the change and observers that have not.
 *
 * @example
 * const { behind } = await waitForObservers({ offset: 17, timeoutMs: 5000, collectReports, isSettled: () => true })
 */
export async function waitForObservers (options: WaitForObserversOptions): Promise<EffectReport> {
  const deadlineAtMs = performance.now() + options.timeoutMs
  for (;;) {
    const isComplete = options.isSettled()
    const report = { ...filterByOffset(await options.collectReports(), options.offset), isComplete }
    if ((isComplete && report.behind.length === 0) || performance.now() >= deadlineAtMs) return report
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

function filterByOffset (reports: ObserverReport[], offset: number): Omit<EffectReport, 'isComplete'> {
  const newest = new Map<string, ObserverReport>()
  for (const report of reports) {
    const current = newest.get(report.instance)
    const isNewer = !current || (current.incarnation === report.incarnation ? report.offset > current.offset : report.ageMs < current.ageMs)
    if (isNewer) newest.set(report.instance, report)
  }
  const sorted = [...newest.values()].sort((a, b) => a.instance < b.instance ? -1 : 1)
  return {
    applied: sorted.filter(report => report.offset >= offset).map(report => report.instance),
    behind: sorted.filter(report => report.offset < offset).map(report => report.instance)
  }
}
