import { createHash } from 'node:crypto'

const MAX_CACHED_HASHES = 16_384

/**
 * @name RendezvousOrder
 * @category Routing
 * @summary Ranks the targets of a key by rendezvous hashing (highest random weight).
 *
 * @description
 * All routers compute the same order without exchanging messages. When a target is added or removed, only the keys that
 * rank it first move.
 *
 * @example
 * const order = new RendezvousOrder()
 * order.computeRanks('5c1e07a2', ['i-1', 'i-2']) // Map { 'i-2' => 0, 'i-1' => 1 }
 */
export class RendezvousOrder {
  readonly #hashes = new Map<string, number>()

  /** Returns the rank of each target id, 0 for the first. */
  computeRanks (key: string, ids: readonly string[]): Map<string, number> {
    const keyHash = this.#getHash(key)
    const weighted = ids.map(id => ({ id, weight: computeWeight(keyHash, this.#getHash(id)) }))
    weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    return new Map(weighted.map(({ id }, rank) => [id, rank]))
  }

  #getHash (text: string): number {
    let hash = this.#hashes.get(text)
    if (hash === undefined) {
      if (this.#hashes.size >= MAX_CACHED_HASHES) this.#hashes.clear()
      hash = createHash('sha1').update(text).digest().readUInt32LE(0)
      this.#hashes.set(text, hash)
    }
    return hash
  }
}

/** Combines both hashes and applies the finalizer of MurmurHash3. */
function computeWeight (keyHash: number, targetHash: number): number {
  let mixed = keyHash ^ Math.imul(targetHash, 0x9e3779b1)
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
