import type { SettingsHistoryEntry } from '../../contract/SettingsHistoryEntry'

const MAX_ENTRIES = 1_000

/**
 * @name SettingsHistory
 * @category Configuration
 * @summary The 1,000 newest accepted settings changes.
 *
 * @description
 * It is part of the replicated state, so every replica has the same history, also after a restart from a snapshot.
 *
 * @example
 * const history = new SettingsHistory()
 * history.list('/teams/sales', { maxEntries: 20 })
 */
export class SettingsHistory {
  #entries: SettingsHistoryEntry[] = []

  record (entry: SettingsHistoryEntry): void {
    this.#entries.push(entry)
    if (this.#entries.length > MAX_ENTRIES) this.#entries.shift()
  }

  /** Entries that set or delete a path at or below the prefix, newest first. */
  list (prefix: string, options: { maxEntries: number }): SettingsHistoryEntry[] {
    const isTouched = (path: string): boolean => prefix === '/' || path === prefix || path.startsWith(`${prefix}/`)
    return this.#entries.filter(entry => [...entry.paths, ...entry.deletedPaths].some(isTouched)).slice(-options.maxEntries).reverse()
  }

  getState (): SettingsHistoryEntry[] {
    return [...this.#entries]
  }

  install (entries: readonly SettingsHistoryEntry[]): void {
    this.#entries = [...entries]
  }
}
