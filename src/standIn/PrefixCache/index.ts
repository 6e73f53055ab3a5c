/**
 * @name PrefixCache
 * @category Stand-in
 * @summary LRU cache of the prompt prefixes whose attention state the engine keeps.
 *
 * @param size - Maximum number of prefixes.
 * @param onEvent - Called for each prefix that is stored or evicted.
 *
 * @example
 * const cache = new PrefixCache(1, () => {})
 * cache.add(7) // false: not cached before
 * cache.add(7) // true
 */
export class PrefixCache {
  readonly #size: number
  readonly #onEvent: (kind: 'stored' | 'evicted', prefixHash: number) => void
  /** Ordered by last use, least recently used first. */
  readonly #prefixes = new Set<number>()

  constructor (size: number, onEvent: (kind: 'stored' | 'evicted', prefixHash: number) => void) {
    this.#size = size
    this.#onEvent = onEvent
  }

  /** Stores the prefix as the most recently used one and returns whether it was already cached. */
  add (prefixHash: number): boolean {
    const isCached = this.#prefixes.delete(prefixHash)
    this.#prefixes.add(prefixHash)
    if (!isCached) this.#onEvent('stored', prefixHash)
    if (this.#prefixes.size > this.#size) this.#evictOldest()
    return isCached
  }

  clear (): void {
    while (this.#prefixes.size > 0) this.#evictOldest()
  }

  #evictOldest (): void {
    const [oldest] = this.#prefixes
    this.#prefixes.delete(oldest)
    this.#onEvent('evicted', oldest)
  }
}
