import { FetchLogReply } from '../../contract/FetchLogReply'
import type { FetchLogRequest } from '../../contract/FetchLogRequest'
import type { LogSource } from '../LogSource'
import type { ObserverTable } from '../ObserverTable'
import type { SettingsRelay } from '../SettingsRelay'
import type { SettingsTree } from '../SettingsTree'
import type { SettingsView } from '../SettingsView'

const LONG_POLL_MS = 2_000
const REQUEST_TIMEOUT_MS = 3_000
const MAX_ENTRIES = 1_000
const RETRY_DELAY_MS = 100
/** Data that no control replica has confirmed for this time makes the follower try its other sources. */
const MAX_AGE_MS = 3_000
/** A follower that gets fresh data from another source than its first choice returns to the first choice after this time. */
const PREFER_FIRST_AFTER_MS = 5_000
const REPORT_INTERVAL_MS = 50

interface SettingsFollowerOptions {
  tree: SettingsTree
  view: SettingsView
  relay: SettingsRelay
  /** Observers that fetch from this one; their offsets are passed on to the source. */
  observers: ObserverTable
  /** Where log entries can be fetched, in order of preference. */
  listSources: () => readonly LogSource[]
}

/**
 * @name SettingsFollower
 * @category Configuration
 * @summary Keeps a settings tree up to date from the log.
 *
 * @description
 * Fetches entries after its offset by long poll. When a source fails or its data is stale, it moves to the next one; a
 * stale source still gives what it has, so that an observer that starts in a partitioned availability zone gets the
 * newest settings found there. It never goes back to a lower offset, whatever a source answers.
 *
 * @param options - Tree, view and relay to update, observers behind this one, sources.
 *
 * @example
 * const follower = new SettingsFollower({ tree, view, relay, observers, listSources: () => [control] })
 * follower.start()
 * follower.stop()
 */
export class SettingsFollower {
  readonly #options: SettingsFollowerOptions
  #isRunning = false
  #index = 0
  #leftFirstAtMs = 0
  #isSourceStale = false
  /** Whether the newest reply was fresh; until then all sources are tried in turn. */
  #isFresh = false
  #source?: LogSource
  /** The source that has all reports so far. */
  #reportedTo?: LogSource
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
   * Passes the offsets of the observers behind this one on to the source, batched. Each observer reports with every
   * poll; passing on all of them each time would make the traffic grow with the square of their number.
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
    const reports = this.#source === this.#reportedTo ? changed : observers.listLive(nowMs)
    if (reports.length === 0) return
    this.#reportedTo = this.#source?.send('reportOffsets', { reports }) ? this.#source : undefined
  }

  async #run (): Promise<void> {
    while (this.#isRunning) {
      const source = this.#chooseSource()
      this.#isFresh = source !== undefined && await this.#tryFetch(source)
      if (this.#isFresh || !this.#isRunning) continue
      this.#updateSourceIndex()
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
  }

  #chooseSource (): LogSource | undefined {
    const sources = this.#options.listSources()
    const isFirstDue = this.#isFresh && performance.now() - this.#leftFirstAtMs > PREFER_FIRST_AFTER_MS
    if (this.#index >= sources.length || isFirstDue) this.#index = 0
    this.#source = sources[this.#index]
    return this.#source
  }

  #updateSourceIndex (): void {
    if (this.#index === 0) this.#leftFirstAtMs = performance.now()
    this.#index++
  }

  async #tryFetch (source: LogSource): Promise<boolean> {
    const { tree, relay } = this.#options
    const request: FetchLogRequest = { offset: tree.offset, waitMs: this.#isSourceStale ? 0 : LONG_POLL_MS, maxEntries: MAX_ENTRIES }
    try {
      const reply = FetchLogReply.parse(await source.request('fetchLog', request, { timeoutMs: REQUEST_TIMEOUT_MS }))
      if (!this.#isRunning) return false
      this.#apply(reply)
      relay.recordConfirmation(reply.ageMs, performance.now())
      this.#isSourceStale = reply.ageMs > MAX_AGE_MS
      return !this.#isSourceStale
    } catch {
      this.#isSourceStale = false
      return false
    }
  }

  #apply (reply: FetchLogReply): void {
    const { tree, view, relay } = this.#options
    const before = tree.offset
    if (reply.snapshot && reply.snapshot.offset > tree.offset) {
      tree.install(reply.snapshot.state)
      relay.recordSnapshot()
    }
    for (const entry of reply.entries) {
      if (entry.offset !== tree.offset + 1) continue
      tree.apply(entry.command, entry.offset)
      relay.record(entry)
    }
    if (tree.offset > before) view.update(tree)
  }
}
