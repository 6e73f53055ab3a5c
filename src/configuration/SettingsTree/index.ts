import { SettingsChange } from '../../contract/SettingsChange'
import type { SettingsChangeResult } from '../../contract/SettingsChangeResult'
import type { SettingsHistoryEntry } from '../../contract/SettingsHistoryEntry'
import { findSettingSchema } from '../findSettingSchema'
import { resolveSubtree } from '../resolveSubtree'
import { restoreHashes } from '../restoreHashes'
import { SettingsHistory } from '../SettingsHistory'
import { SettingsState } from '../SettingsState'
import { restoreMap } from '../../log/restoreMap'

type Values = SettingsState['values']

/** Paths of accounts, services and targets, whose names are unique within their kind across all teams. */
const UNIQUE_NAME_PATH = /^\/teams\/[^/]+\/(accounts|services|targets)\/([^/]+)$/

/** Results stored to deduplicate resent changes: at 7,000 changes a day they cover almost three days. */
const MAX_STORED_RESULTS = 20_000

/**
 * @name SettingsTree
 * @category Configuration
 * @summary State machine of the `settings` log group.
 *
 * @description
 * Applies changes in log order. A change is atomic and conditional on the revision of its subtree. A change whose id is
 * among the 20,000 newest returns its first result and is not applied again; that includes a change replayed at an
 * offset that was applied already. The offset never decreases.
 *
 * @example
 * const tree = new SettingsTree()
 * tree.apply(change, 1) // { status: 'accepted', revision: 1, offset: 1 }
 */
export class SettingsTree {
  #offset = 0
  readonly #values = new Map<string, Values[string]>()
  readonly #revisions = new Map<string, number>()
  readonly #results = new Map<string, SettingsChangeResult>()
  /** Path of the setting that uses a name, by `<kind>/<name>`. */
  readonly #pathByUniqueName = new Map<string, string>()
  readonly #history = new SettingsHistory()

  get offset (): number {
    return this.#offset
  }

  get (path: string): Values[string] | undefined {
    return this.#values.get(path)
  }

  getRevision (subtree: string): number {
    return this.#revisions.get(subtree) ?? 0
  }

  * list (prefix: string): Generator<[path: string, value: Values[string]]> {
    for (const [path, value] of this.#values) {
      if (prefix === '/' || path === prefix || path.startsWith(`${prefix}/`)) yield [path, value]
    }
  }

  apply (command: unknown, offset: number): SettingsChangeResult {
    this.#offset = Math.max(this.#offset, offset)
    const change = SettingsChange.safeParse(command)
    if (!change.success) return { status: 'invalid', path: '/', reason: 'The change does not have the expected form.' }
    const firstResult = this.#results.get(change.data.changeId)
    if (firstResult) return firstResult
    const result = this.#applyOnce(change.data, offset)
    this.#results.set(change.data.changeId, result)
    this.#evictResults()
    return result
  }

  listHistory (prefix: string, options: { maxEntries: number }): SettingsHistoryEntry[] {
    return this.#history.list(prefix, options)
  }

  getState (): SettingsState {
    return {
      offset: this.#offset,
      values: Object.fromEntries(this.#values),
      revisions: Object.fromEntries(this.#revisions),
      results: [...this.#results],
      history: this.#history.getState()
    }
  }

  install (snapshot: unknown): void {
    const state = SettingsState.parse(snapshot)
    if (state.offset < this.#offset) return
    this.#offset = state.offset
    restoreMap(this.#values, Object.entries(state.values))
    restoreMap(this.#revisions, Object.entries(state.revisions))
    restoreMap(this.#results, state.results)
    this.#history.install(state.history)
    this.#pathByUniqueName.clear()
    for (const path of this.#values.keys()) this.#registerUniqueName(path)
  }

  /** Evicts the oldest results first. Insertion order is the same on every replica, so all evict the same results. */
  #evictResults (): void {
    for (const changeId of this.#results.keys()) {
      if (this.#results.size <= MAX_STORED_RESULTS) return
      this.#results.delete(changeId)
    }
  }

  #applyOnce (change: SettingsChange, offset: number): SettingsChangeResult {
    const operations = change.operations.map(({ path, value }) => ({ path, value: restoreHashes(value, this.get(path)) }))
    const refusal = this.#checkRevision(change) ?? this.#checkOperations({ ...change, operations })
    if (refusal) return refusal
    for (const { path, value } of operations) this.#set(path, value)
    const revision = this.getRevision(change.subtree) + 1
    this.#revisions.set(change.subtree, revision)
    this.#recordHistory(change, { revision, offset })
    return { status: 'accepted', revision, offset }
  }

  #recordHistory (change: SettingsChange, position: { revision: number, offset: number }): void {
    const { operator, atMs, subtree, operations } = change
    const paths = operations.filter(({ value }) => value !== null).map(({ path }) => path)
    const deletedPaths = operations.filter(({ value }) => value === null).map(({ path }) => path)
    this.#history.record({ ...position, operator, atMs, subtree, paths, deletedPaths })
  }

  #checkRevision (change: SettingsChange): SettingsChangeResult | undefined {
    const revision = this.getRevision(change.subtree)
    if (change.expectedRevision === undefined || change.expectedRevision === revision) return undefined
    const values: Values = {}
    for (const { path } of change.operations) values[path] = this.get(path) ?? null
    return { status: 'conflict', revision, values }
  }

  #checkOperations (change: SettingsChange): SettingsChangeResult | undefined {
    for (const { path, value } of change.operations) {
      const reason = this.#findValidationError(change.subtree, path, value)
      if (reason) return { status: 'invalid', path, reason }
    }
    return undefined
  }

  #findValidationError (subtree: string, path: string, value: Values[string]): string | undefined {
    const schema = findSettingSchema(path)
    if (!schema) return 'No setting has this path.'
    if (resolveSubtree(path) !== subtree) return `The path is not in the subtree ${subtree}.`
    const ownerPath = this.#pathByUniqueName.get(this.#getUniqueName(path) ?? '')
    if (ownerPath && ownerPath !== path) return `The name is already used by ${ownerPath}.`
    if (value === null) return undefined
    const parsed = schema.safeParse(value)
    if (parsed.success) return undefined
    const [issue] = parsed.error.issues
    return `${issue.path.join('.') || 'value'}: ${issue.message}`
  }

  #set (path: string, value: Values[string]): void {
    if (value === null) {
      this.#values.delete(path)
      this.#pathByUniqueName.delete(this.#getUniqueName(path) ?? '')
      return
    }
    this.#values.set(path, value)
    this.#registerUniqueName(path)
  }

  #registerUniqueName (path: string): void {
    const name = this.#getUniqueName(path)
    if (name) this.#pathByUniqueName.set(name, path)
  }

  #getUniqueName (path: string): string | undefined {
    const match = UNIQUE_NAME_PATH.exec(path)
    return match ? `${match[1]}/${match[2]}` : undefined
  }
}
