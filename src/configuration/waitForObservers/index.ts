import type { ObserverReport } from '../../contract/ObserverReport'

const POLL_INTERVAL_MS = 50

interface WaitForObserversOptions {
  /** Offset that every live observer must reach. */
  offset: number
  timeoutMs: number
  /** Reports of all replicas; the newest report of an instance counts. */
  collectReports: () => Promise<ObserverReport[]>
  /** Whether every live observer has had the time to report, which it hasn't right after the start of a replica. */
  isSettled: () => boolean
}

interface EffectReport {
  /** Live observers where the offset is in effect. */
  applied: string[]
  /** Live observers that have not reported it in time. */
  behind: string[]
  /** False if live observers may be missing in both lists. */
  isComplete: boolean
}

/**
 * @name waitForObservers
 * @category Configuration
 * @summary Waits until a change is in effect on every live observer.
 *
 * @description
 * An observer counts as live while its reports arrive. The set of live observers may change while this waits. An
 * instance that no replica hears from is not in the result. While the reports are not settled, an observer may be
 * missing, so this waits on.
 *
 * @param options - Offset, time limit in milliseconds, source of the reports.
 * @returns Where the change is in effect and where not.
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
    const known = newest.get(report.instance)
    const isNewer = !known || (known.incarnation === report.incarnation ? report.offset > known.offset : report.ageMs < known.ageMs)
    if (isNewer) newest.set(report.instance, report)
  }
  const sorted = [...newest.values()].sort((a, b) => a.instance < b.instance ? -1 : 1)
  return {
    applied: sorted.filter(report => report.offset >= offset).map(report => report.instance),
    behind: sorted.filter(report => report.offset < offset).map(report => report.instance)
  }
}
