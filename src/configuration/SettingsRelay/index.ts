import type { FetchLogReply } from '../../contract/FetchLogReply'
import type { FetchLogRequest } from '../../contract/FetchLogRequest'
import { OffsetWaiters } from '../../log/OffsetWaiters'
import type { SettingsTree } from '../SettingsTree'

interface LogEntry {
  offset: number
  command: unknown
}

const DEFAULT_MAX_ENTRIES = 1_000

/**
 * @name SettingsRelay
 * @category Configuration
 * @summary Serves the settings log of an observer to other observers of its availability zone.
 *
 * @description
 * Retains the newest entries; an observer that is further behind gets a snapshot of the tree. Times are milliseconds of
 * the monotonic clock.
 *
 * @param tree - The observer's settings tree.
 * @param options - `maxEntries`: maximum number of entries to retain.
 *
 * @example
 * const relay = new SettingsRelay(tree)
 * const reply = await relay.fetch({ offset: 3, waitMs: 1000, maxEntries: 100 })
 */
export class SettingsRelay {
  readonly #tree: SettingsTree
  readonly #maxEntries: number
  #entries: LogEntry[] = []
  /** When a control replica last confirmed the data, directly or through other relays. */
  #confirmedAtMs = -Infinity
  readonly #waiters = new OffsetWaiters()

  constructor (tree: SettingsTree, options: { maxEntries?: number } = {}) {
    this.#tree = tree
    this.#maxEntries = options.maxEntries ?? DEFAULT_MAX_ENTRIES
  }

  /** Adds an entry that was just applied to the tree. */
  record (entry: LogEntry): void {
    this.#entries.push(entry)
    if (this.#entries.length > this.#maxEntries) this.#entries.shift()
    this.#waiters.notify(this.#tree.offset)
  }

  /** Discards the retained entries after the tree was replaced by a snapshot. */
  recordSnapshot (): void {
    this.#entries = []
    this.#waiters.notify(this.#tree.offset)
  }

  /** Records that a source replied with data of the given age. */
  recordConfirmation (ageMs: number, nowMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, nowMs - ageMs)
  }

  /** Milliseconds since a control replica last confirmed the data, also through relays; MAX_SAFE_INTEGER if none did. */
  getAge (nowMs: number): number {
    const ageMs = nowMs - this.#confirmedAtMs
    return Number.isFinite(ageMs) ? ageMs : Number.MAX_SAFE_INTEGER
  }

  async fetch (request: FetchLogRequest): Promise<FetchLogReply> {
    if (this.#tree.offset <= request.offset && request.waitMs > 0) await this.#waiters.wait(request.offset + 1, request.waitMs)
    const base = { commitOffset: this.#tree.offset, ageMs: this.getAge(performance.now()) }
    if (this.#tree.offset <= request.offset) return { ...base, entries: [] }
    const oldest = this.#entries[0]
    if (oldest && oldest.offset <= request.offset + 1) {
      const start = request.offset + 1 - oldest.offset
      return { ...base, entries: this.#entries.slice(start, start + request.maxEntries) }
    }
    return { ...base, entries: [], snapshot: { offset: this.#tree.offset, state: this.#tree.getState() } }
  }
}
