import { FetchLogReply } from '../../contract/FetchLogReply'
import type { FetchLogRequest } from '../../contract/FetchLogRequest'
import type { LogSource } from '../LogSource'
import type { ObserverTable } from '../ObserverTable'
import type { SettingsRelay } from '../SettingsRelay'
import type { SettingsTree } from '../SettingsTree'
import type { SettingsView } from '../SettingsView'

const LONG_POLL_MS = 2_000
const REQUEST_TIMEOUT_MS = 3_000
const MAX_ENTRIES_PER_FETCH = 1_000
const RETRY_DELAY_MS = 100
/** Data that no control replica has confirmed within this time is stale; the follower then tries its other sources. */
const MAX_DATA_AGE_MS = 3_000
/** A follower that gets fresh data from a less preferred source retries the most preferred one after this time. */
const RETURN_TO_PREFERRED_AFTER_MS = 5_000
const REPORT_INTERVAL_MS = 50

interface SettingsFollowerOptions {
  tree: SettingsTree
  view: SettingsView
  relay: SettingsRelay
  /** Observers that fetch log entries from this process. Their reported offsets are forwarded to its current source. */
  observers: ObserverTable
  /** Sources of log entries, most preferred first. */
  listSources: () => readonly LogSource[]
}

/**
 * @name SettingsFollower
 * @category Configuration
 * @summary Keeps a settings tree up to date by fetching log entries.
 *
 * @description
 * Fetches entries after its offset by long polling. When a source fails or its data is stale, it switches to the next
 * one. Entries of a stale source are still applied, so that an observer that starts in a partitioned availability zone
 * gets the newest settings available there. The offset never decreases, whatever a source replies.
 *
 * @param options - Tree, view and relay to update, downstream observers, sources.
 *
 * @example
 * const follower = new SettingsFollower({ tree, view, relay, observers, listSources: () => [control] })
 * follower.start()
 * follower.stop()
 */
export class SettingsFollower {
  readonly #options: SettingsFollowerOptions
  #isRunning = false
  #sourceIndex = 0
  /** When the most preferred source last failed or returned stale data. */
  #leftPreferredAtMs = 0
  /** Whether the last reply held stale data. The next request then does not wait for new entries. */
  #isSourceStale = false
  /** Whether the last fetch returned fresh data. While false, all sources are tried in turn. */
  #isLastFetchFresh = false
  #currentSource?: LogSource
  /** Source that has received all reports so far and needs only the changed ones. */
  #fullyReportedSource?: LogSource
  #reportTimer?: NodeJS.Timeout

  constructor (options: SettingsFollowerOptions) {
    this.#options = options
  }

  start (): void {
    this.#isRunning = true
    void this.#run()
  }

  stop (): void {
    this.#isRunning = false
    clearTimeout(this.#reportTimer)
  }

  /**
   * Forwards the offsets of the downstream observers to the source, in batches. Each observer reports with every poll;
   * forwarding all reports each time would make the traffic grow with the square of the number of observers.
   */
  scheduleReport (): void {
    this.#reportTimer ??= setTimeout(() => {
      this.#reportTimer = undefined
      this.#sendReport(performance.now())
    }, REPORT_INTERVAL_MS)
  }

  #sendReport (nowMs: number): void {
    const { observers } = this.#options
    const changed = observers.takeChanged(nowMs)
    const reports = this.#currentSource === this.#fullyReportedSource ? changed : observers.listLive(nowMs)
    if (reports.length === 0) return
    this.#fullyReportedSource = this.#currentSource?.send('reportOffsets', { reports }) ? this.#currentSource : undefined
  }

  async #run (): Promise<void> {
    while (this.#isRunning) {
      const source = this.#chooseSource()
      this.#isLastFetchFresh = source !== undefined && await this.#tryFetch(source)
      if (this.#isLastFetchFresh || !this.#isRunning) continue
      this.#selectNextSource()
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
  }

  #chooseSource (): LogSource | undefined {
    const sources = this.#options.listSources()
    const isPreferredDue = this.#isLastFetchFresh && performance.now() - this.#leftPreferredAtMs > RETURN_TO_PREFERRED_AFTER_MS
    if (this.#sourceIndex >= sources.length || isPreferredDue) this.#sourceIndex = 0
    this.#currentSource = sources[this.#sourceIndex]
    return this.#currentSource
  }

  #selectNextSource (): void {
    if (this.#sourceIndex === 0) this.#leftPreferredAtMs = performance.now()
    this.#sourceIndex++
  }

  async #tryFetch (source: LogSource): Promise<boolean> {
    const { tree, relay } = this.#options
    const request: FetchLogRequest = { offset: tree.offset, waitMs: this.#isSourceStale ? 0 : LONG_POLL_MS, maxEntries: MAX_ENTRIES_PER_FETCH }
    try {
      const reply = FetchLogReply.parse(await source.request('fetchLog', request, { timeoutMs: REQUEST_TIMEOUT_MS }))
      if (!this.#isRunning) return false
      this.#apply(reply)
      relay.recordConfirmation(reply.ageMs, performance.now())
      this.#isSourceStale = reply.ageMs > MAX_DATA_AGE_MS
      return !this.#isSourceStale
    } catch {
      this.#isSourceStale = false
      return false
    }
  }

  #apply (reply: FetchLogReply): void {
    const { tree, view, relay } = this.#options
    const previousOffset = tree.offset
    if (reply.snapshot && reply.snapshot.offset > tree.offset) {
      tree.install(reply.snapshot.state)
      relay.recordSnapshot()
    }
    for (const entry of reply.entries) {
      if (entry.offset !== tree.offset + 1) continue
      tree.apply(entry.command, entry.offset)
      relay.record(entry)
    }
    if (tree.offset > previousOffset) view.update(tree)
  }
}
