const MAX_PREFIXES_PER_TARGET = 20_000

interface CacheEvent {
  seq: number
  kind: 'stored' | 'evicted'
  prefixHash: number
}

interface TargetIndex {
  lastSeq: number
  hashes: Set<number>
}

/**
 * @name PrefixIndex
 * @category Schedule
 * @summary Index of the prompt prefixes that targets have cached, built from their cache events.
 *
 * @description
 * Events of a target have consecutive sequence numbers. Events that were already applied are ignored. A gap clears the
 * prefixes of the target, because an eviction may have been missed; later events fill the index again. Beyond a fixed
 * number of prefixes, the oldest prefix of a target is removed.
 *
 * @example
 * const index = new PrefixIndex()
 * index.apply('e1', [{ seq: 1, kind: 'stored', prefixHash: 7 }])
 * index.has('e1', 7) // true
 */
export class PrefixIndex {
  readonly #targets = new Map<string, TargetIndex>()
  readonly #holdersByPrefix = new Map<number, Set<string>>()

  /** Sequence number of the last applied event; 0 if none. */
  getLastSeq (target: string): number {
    return this.#targets.get(target)?.lastSeq ?? 0
  }

  has (target: string, prefixHash: number): boolean {
    return this.#holdersByPrefix.get(prefixHash)?.has(target) ?? false
  }

  listHolders (prefixHash: number): ReadonlySet<string> | undefined {
    return this.#holdersByPrefix.get(prefixHash)
  }

  apply (target: string, events: readonly CacheEvent[]): void {
    for (const event of events) this.#applyEvent(target, event)
  }

  removeTarget (target: string): void {
    this.#clear(target)
    this.#targets.delete(target)
  }

  #applyEvent (target: string, event: CacheEvent): void {
    const index = this.#getIndex(target)
    if (event.seq <= index.lastSeq) return
    if (event.seq > index.lastSeq + 1) this.#clear(target)
    index.lastSeq = event.seq
    if (event.kind === 'stored') this.#add(target, index, event.prefixHash)
    else this.#remove(target, index, event.prefixHash)
  }

  #getIndex (target: string): TargetIndex {
    let index = this.#targets.get(target)
    if (!index) {
      index = { lastSeq: 0, hashes: new Set() }
      this.#targets.set(target, index)
    }
    return index
  }

  #add (target: string, index: TargetIndex, prefixHash: number): void {
    index.hashes.add(prefixHash)
    const holders = this.#holdersByPrefix.get(prefixHash)
    if (holders) holders.add(target)
    else this.#holdersByPrefix.set(prefixHash, new Set([target]))
    if (index.hashes.size <= MAX_PREFIXES_PER_TARGET) return
    const [oldest] = index.hashes
    this.#remove(target, index, oldest)
  }

  #remove (target: string, index: TargetIndex, prefixHash: number): void {
    index.hashes.delete(prefixHash)
    const holders = this.#holdersByPrefix.get(prefixHash)
    holders?.delete(target)
    if (holders?.size === 0) this.#holdersByPrefix.delete(prefixHash)
  }

  #clear (target: string): void {
    const index = this.#getIndex(target)
    for (const prefixHash of index.hashes) this.#remove(target, index, prefixHash)
  }
}
