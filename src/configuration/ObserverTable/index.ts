import type { ObserverReport } from '../../contract/ObserverReport'

interface ObserverEntry extends Omit<ObserverReport, 'ageMs'> {
  reportedAtMs: number
}

/**
 * @name ObserverTable
 * @category Configuration
 * @summary Live observers of the settings log, each with the newest log offset that it reported as applied.
 *
 * @description
 * Reports arrive directly or through relays, and may be late or out of order. The newest report of an instance is kept;
 * within one incarnation, the recorded offset never decreases. Times are milliseconds of the monotonic clock.
 *
 * @param options - `liveMs`: an observer counts as live until this many milliseconds after its newest report.
 *
 * @example
 * const table = new ObserverTable({ liveMs: 6000 })
 * table.record({ instance: 'r1', incarnation: 'a1', zone: 'z1', offset: 7, ageMs: 0 }, performance.now())
 * table.listBehind(8, performance.now()) // ['r1']
 */
export class ObserverTable {
  readonly #liveMs: number
  readonly #entries = new Map<string, ObserverEntry>()
  /** Instances that have reported since the last call of `takeChanged`. */
  readonly #reportedInstances = new Set<string>()

  constructor (options: { liveMs: number }) {
    this.#liveMs = options.liveMs
  }

  record (report: ObserverReport, nowMs: number): void {
    const { ageMs, ...rest } = report
    const reportedAtMs = nowMs - ageMs
    const previous = this.#entries.get(report.instance)
    if (previous && previous.incarnation !== report.incarnation && previous.reportedAtMs > reportedAtMs) return
    this.#reportedInstances.add(report.instance)
    const isSameIncarnation = previous?.incarnation === report.incarnation
    this.#entries.set(report.instance, {
      ...rest,
      offset: isSameIncarnation ? Math.max(previous.offset, report.offset) : report.offset,
      reportedAtMs: isSameIncarnation ? Math.max(previous.reportedAtMs, reportedAtMs) : reportedAtMs
    })
  }

  /** Newest reports of the live observers, with their current ages. */
  listLive (nowMs: number): ObserverReport[] {
    this.#expire(nowMs)
    return [...this.#entries.values()].map(({ reportedAtMs, ...rest }) => ({ ...rest, ageMs: nowMs - reportedAtMs }))
  }

  /** Newest reports of the live observers that have reported since the last call. */
  takeChanged (nowMs: number): ObserverReport[] {
    const changed = this.listLive(nowMs).filter(({ instance }) => this.#reportedInstances.has(instance))
    this.#reportedInstances.clear()
    return changed
  }

  /** Instance names of live observers whose applied offset is lower than the given one. */
  listBehind (offset: number, nowMs: number): string[] {
    return this.listLive(nowMs).filter(report => report.offset < offset).map(report => report.instance)
  }

  #expire (nowMs: number): void {
    for (const [instance, entry] of this.#entries) {
      if (nowMs - entry.reportedAtMs > this.#liveMs) this.#entries.delete(instance)
    }
  }
}
