/**
 * @name PrefixCache
 * @category Stand-in
 * @summary Prompt prefixes whose attention state the engine keeps, least recently used evicted first.
 *
 * @param size - Most prefixes to keep.
 * @param onEvent - Told about prefixes that are stored or evicted.
 *
 * @example
 * const cache = new PrefixCache(1, () => {})
 * cache.add(7) // false: not cached before
 * cache.add(7) // true
 */
export class PrefixCache {
  readonly #size: number
  readonly #onEvent: (kind: 'stored' | 'evicted', prefixHash: number) => void
  /** In order of last use. */
  readonly #prefixes = new Set<number>()

  constructor (size: number, onEvent: (kind: 'stored' | 'evicted', prefixHash: number) => void) {
    this.#size = size
    this.#onEvent = onEvent
  }

  /** Makes the prefix the most recently used one, and returns whether it was cached. */
  add (prefixHash: number): boolean {
    const isCached = this.#prefixes.delete(prefixHash)
    this.#prefixes.add(prefixHash)
    if (!isCached) this.#onEvent('stored', prefixHash)
    if (this.#prefixes.size > this.#size) this.#evictOldest()
    return isCached
  }

  #evictOldest (): void {
    const [oldest] = this.#prefixes
    this.#prefixes.delete(oldest)
    this.#onEvent('evicted', oldest)
  }
}
