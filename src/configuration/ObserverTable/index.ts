import type { ObserverReport } from '../../contract/ObserverReport'

interface ObserverEntry extends Omit<ObserverReport, 'ageMs'> {
  reportedAtMs: number
}

/**
 * @name ObserverTable
 * @category Configuration
 * @summary Which observers of the settings log are live and how far each one is.
 *
 * @description
 * Reports arrive directly or through relays, late and out of order. The newest report of an instance counts; an offset
 * of the same incarnation never goes back. Times are milliseconds of the monotonic clock.
 *
 * @param options - `liveMs`: an observer is live for this time after its newest report.
 *
 * @example
 * const table = new ObserverTable({ liveMs: 6000 })
 * table.record({ instance: 'r1', incarnation: 'a1', zone: 'z1', offset: 7, ageMs: 0 }, performance.now())
 * table.listBehind(8, performance.now()) // ['r1']
 */
export class ObserverTable {
  readonly #liveMs: number
  readonly #entries = new Map<string, ObserverEntry>()
  readonly #changed = new Set<string>()

  constructor (options: { liveMs: number }) {
    this.#liveMs = options.liveMs
  }

  record (report: ObserverReport, nowMs: number): void {
    const { ageMs, ...rest } = report
    const reportedAtMs = nowMs - ageMs
    const known = this.#entries.get(report.instance)
    if (known && known.incarnation !== report.incarnation && known.reportedAtMs > reportedAtMs) return
    this.#changed.add(report.instance)
    const isSame = known?.incarnation === report.incarnation
    this.#entries.set(report.instance, {
      ...rest,
      offset: isSame ? Math.max(known.offset, report.offset) : report.offset,
      reportedAtMs: isSame ? Math.max(known.reportedAtMs, reportedAtMs) : reportedAtMs
    })
  }

  /** Reports of the live observers, with their ages. */
  listLive (nowMs: number): ObserverReport[] {
    this.#expire(nowMs)
    return [...this.#entries.values()].map(({ reportedAtMs, ...rest }) => ({ ...rest, ageMs: nowMs - reportedAtMs }))
  }

  /** Reports of the live observers that reported since the last call. */
  takeChanged (nowMs: number): ObserverReport[] {
    const changed = this.listLive(nowMs).filter(({ instance }) => this.#changed.has(instance))
    this.#changed.clear()
    return changed
  }

  /** Names of live observers that have not applied the offset. */
  listBehind (offset: number, nowMs: number): string[] {
    return this.listLive(nowMs).filter(report => report.offset < offset).map(report => report.instance)
  }

  #expire (nowMs: number): void {
    for (const [instance, entry] of this.#entries) {
      if (nowMs - entry.reportedAtMs > this.#liveMs) this.#entries.delete(instance)
    }
  }
}
