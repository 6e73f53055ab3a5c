import type { TargetEntry } from '../../contract/TargetEntry'

/**
 * @name TargetDirectory
 * @category Routing
 * @summary The newest list of targets that this process knows.
 *
 * @description
 * Targets that drain stay listed, because calls may still run there, but they are not offered for new calls.
 *
 * @example
 * directory.replace(entries) // true if anything differs from before
 * directory.find('i-1')
 */
export class TargetDirectory {
  #entries: readonly TargetEntry[] | undefined

  get isKnown (): boolean {
    return this.#entries !== undefined
  }

  /** Returns whether the list differs from the one before. */
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
