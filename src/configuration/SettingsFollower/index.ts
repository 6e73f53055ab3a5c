import { FetchLogReply } from '../../contract/FetchLogReply'
import type { FetchLogRequest } from '../../contract/FetchLogRequest'
import type { SettingsTree } from '../SettingsTree'
import type { SettingsView } from '../SettingsView'

const LONG_POLL_MS = 2_000
const REQUEST_TIMEOUT_MS = 4_000
const MAX_ENTRIES = 1_000
const RETRY_DELAY_MS = 100

interface LogSource {
  request: (type: string, body: unknown, options: { timeoutMs?: number }) => Promise<unknown>
}

interface SettingsFollowerOptions {
  tree: SettingsTree
  view: SettingsView
  /** Where log entries can be fetched, in order of preference. */
  sources: () => readonly LogSource[]
}

/**
 * @name SettingsFollower
 * @category Configuration
 * @summary Keeps a settings tree up to date from the log.
 *
 * @description
 * Fetches entries after its offset by long poll and moves to the next source when one fails. It never goes back to a
 * lower offset, whatever a source answers.
 *
 * @param options - Tree and view to update and the sources.
 *
 * @example
 * const follower = new SettingsFollower({ tree, view, sources: () => [controlClient] })
 * follower.start()
 * follower.stop()
 */
export class SettingsFollower {
  readonly #options: SettingsFollowerOptions
  #isRunning = false
  #next = 0

  constructor (options: SettingsFollowerOptions) {
    this.#options = options
  }

  start (): void {
    this.#isRunning = true
    void this.#run()
  }

  stop (): void {
    this.#isRunning = false
  }

  async #run (): Promise<void> {
    while (this.#isRunning) {
      const sources = this.#options.sources()
      const source = sources[this.#next % Math.max(sources.length, 1)]
      const isDone = source !== undefined && await this.#tryFetch(source)
      if (isDone) continue
      this.#next++
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS))
    }
  }

  async #tryFetch (source: LogSource): Promise<boolean> {
    const request: FetchLogRequest = { offset: this.#options.tree.offset, waitMs: LONG_POLL_MS, maxEntries: MAX_ENTRIES }
    try {
      const reply = await source.request('fetchLog', request, { timeoutMs: REQUEST_TIMEOUT_MS })
      this.#apply(FetchLogReply.parse(reply))
      return true
    } catch {
      return false
    }
  }

  #apply (reply: FetchLogReply): void {
    const { tree, view } = this.#options
    const before = tree.offset
    if (reply.snapshot && reply.snapshot.offset > tree.offset) tree.install(reply.snapshot.state)
    for (const { offset, command } of reply.entries) {
      if (offset === tree.offset + 1) tree.apply(command, offset)
    }
    if (tree.offset > before) view.update(tree)
  }
}
