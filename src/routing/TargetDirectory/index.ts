import type { TargetEntry } from '../../contract/TargetEntry'

/**
 * @name TargetDirectory
 * @category Routing
 * @summary The newest list of targets that this process has received.
 *
 * @description
 * Draining targets stay in the list, because calls may still run on them, but are not offered for new calls.
 *
 * @example
 * directory.replace(entries) // true if the list differs from the previous one
 * directory.find('i-1')
 */
export class TargetDirectory {
  #entries: readonly TargetEntry[] | undefined

  /** Whether a list was received; it may be empty. */
  get isKnown (): boolean {
    return this.#entries !== undefined
  }

  /** Returns whether the list differs from the previous one. */
  replace (entries: readonly TargetEntry[]): boolean {
    const isChanged = JSON.stringify(entries) !== JSON.stringify(this.#entries)
    this.#entries = entries
    return isChanged
  }

  /** The target with this id, if it takes new calls. */
  find (id: string): TargetEntry | undefined {
    return this.#entries?.find(entry => entry.id === id && !entry.isDraining)
  }

  /** The targets of a service that take new calls. */
  list (service: string): TargetEntry[] {
    return this.#entries?.filter(entry => entry.service === service && !entry.isDraining) ?? []
  }
}
