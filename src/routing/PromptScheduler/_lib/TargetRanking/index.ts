import type { TargetEntry } from '../../../../contract/TargetEntry'
import { RendezvousOrder } from '../../../RendezvousOrder'

/** Bounds the memory of the cache, which is cleared when it is full. */
const MAX_CACHED_RANKINGS = 4_096

/** Targets of each service in the rendezvous order of a key. Orders are cached until the targets change. */
export class TargetRanking {
  readonly #hashing = new RendezvousOrder()
  /** Targets by rank, per service and key. */
  readonly #ranked = new Map<string, readonly TargetEntry[]>()
  #targets: readonly TargetEntry[] = []

  setTargets (targets: readonly TargetEntry[]): void {
    this.#targets = targets
    this.#ranked.clear()
  }

  find (id: string): TargetEntry | undefined {
    return this.#targets.find(target => target.id === id)
  }

  /** Targets of the service that are not draining, the first in the order of the key first. */
  list (service: string, key: string): readonly TargetEntry[] {
    const cacheKey = `${service} ${key}`
    const cached = this.#ranked.get(cacheKey)
    if (cached) return cached
    const active = this.#targets.filter(target => target.service === service && !target.isDraining)
    const ranks = this.#hashing.computeRanks(key, active.map(({ id }) => id))
    active.sort((a, b) => ranks.get(a.id)! - ranks.get(b.id)!)
    if (this.#ranked.size >= MAX_CACHED_RANKINGS) this.#ranked.clear()
    this.#ranked.set(cacheKey, active)
    return active
  }
}
