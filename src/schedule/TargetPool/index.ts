import { ConcurrencyLimit } from '../ConcurrencyLimit'
import { IndexedHeap } from '../IndexedHeap'
import { PrefixIndex } from '../PrefixIndex'

const INITIAL_BACKOFF_MS = 250
const MAX_BACKOFF_MS = 5_000
/** Maximum number of holders of a prefix that are compared; the choice among many holders matters little. */
const MAX_COMPARED_HOLDERS = 8

interface TargetSettings {
  name: string
  slots: number
}

interface TargetState {
  limit: ConcurrencyLimit
  /** Slots in use. */
  inUse: number
  consecutiveFailures: number
  /** The target gets no grants before this time. */
  backoffUntilMs: number
}

interface TargetPoolOptions {
  /** False while the target is drained or otherwise closed. */
  isTargetOpen: (target: string) => boolean
}

/**
 * @name TargetPool
 * @category Schedule
 * @summary Tracks the slots of the targets of one service in one zone and chooses among the free ones.
 *
 * @description
 * A target that has the prompt's prefix cached is preferred, then the least loaded one. A target that failed gets no
 * grants during a back-off that doubles with each consecutive failure, because a dead target frees its slots at once and
 * would otherwise attract all requests.
 *
 * @param options - Whether a target is open.
 *
 * @example
 * const pool = new TargetPool({ isTargetOpen: () => true })
 * pool.setTargets([{ name: 'e1', slots: 8 }])
 * pool.choose({}) // 'e1'
 */
export class TargetPool {
  readonly prefixes = new PrefixIndex()
  readonly #options: TargetPoolOptions
  readonly #targets = new Map<string, TargetState>()
  /** Open targets with free slots that are not in back-off, least loaded first. */
  readonly #freeTargets = new IndexedHeap<string>()
  /** Time of the last tick. */
  #nowMs = 0

  constructor (options: TargetPoolOptions) {
    this.#options = options
  }

  get hasFreeTarget (): boolean {
    return this.#freeTargets.size > 0
  }

  setTargets (targets: readonly TargetSettings[]): void {
    const names = new Set(targets.map(target => target.name))
    for (const name of this.#targets.keys()) {
      if (!names.has(name)) this.#removeTarget(name)
    }
    for (const { name, slots } of targets) {
      const state = this.#targets.get(name)
      if (state) state.limit.setSlots(slots)
      else this.#targets.set(name, { limit: new ConcurrencyLimit({ slots }), inUse: 0, consecutiveFailures: 0, backoffUntilMs: 0 })
      this.#updateAvailability(name, this.#nowMs)
    }
  }

  /** Updates the free targets after changes of drains, back-offs and limits. */
  tick (nowMs: number): void {
    this.#nowMs = nowMs
    for (const name of this.#targets.keys()) this.#updateAvailability(name, nowMs)
  }

  choose (criteria: { prefixHash?: number, excluded?: ReadonlySet<string> }): string | undefined {
    const holder = criteria.prefixHash === undefined ? undefined : this.#choosePrefixHolder(criteria.prefixHash, criteria.excluded)
    if (holder !== undefined) return holder
    this.#removeClosedTargets()
    const leastLoaded = this.#freeTargets.peek()
    if (leastLoaded === undefined || !criteria.excluded?.has(leastLoaded)) return leastLoaded
    return this.#chooseLeastLoaded(this.#freeTargets.list(), criteria.excluded)
  }

  take (target: string, nowMs: number): void {
    const state = this.#targets.get(target)
    if (!state) return
    state.inUse++
    this.#updateAvailability(target, nowMs)
  }

  release (target: string, nowMs: number, isHealthy = true): void {
    const state = this.#targets.get(target)
    if (!state) return
    state.inUse = Math.max(0, state.inUse - 1)
    if (isHealthy) state.consecutiveFailures = 0
    else this.#recordFailure(state, nowMs)
    this.#updateAvailability(target, nowMs)
  }

  observeLoad (target: string, nowMs: number, load: { running: number, waiting: number, lagMs: number }): void {
    const state = this.#targets.get(target)
    if (!state) return
    state.limit.observe(nowMs, { ...load, inUse: state.inUse })
    this.#updateAvailability(target, nowMs)
  }

  /** Number of free slots, for metrics and measurements. */
  countFreeSlots (): number {
    return this.#freeTargets.list().reduce((sum, name) => sum + this.#countFreeSlotsOf(name), 0)
  }

  getLimit (target: string): number {
    return this.#targets.get(target)?.limit.value ?? 0
  }

  countInUse (target: string): number {
    return this.#targets.get(target)?.inUse ?? 0
  }

  #countFreeSlotsOf (name: string): number {
    const state = this.#targets.get(name)
    return state ? Math.max(0, state.limit.value - state.inUse) : 0
  }

  #recordFailure (state: TargetState, nowMs: number): void {
    state.backoffUntilMs = nowMs + Math.min(INITIAL_BACKOFF_MS * 2 ** state.consecutiveFailures, MAX_BACKOFF_MS)
    state.consecutiveFailures++
  }

  #updateAvailability (name: string, nowMs: number): void {
    const state = this.#targets.get(name)!
    const isAvailable = state.inUse < state.limit.value && nowMs >= state.backoffUntilMs && this.#options.isTargetOpen(name)
    if (isAvailable) this.#freeTargets.set(name, state.inUse / state.limit.value)
    else this.#freeTargets.remove(name)
  }

  #removeClosedTargets (): void {
    for (let first = this.#freeTargets.peek(); first !== undefined && !this.#options.isTargetOpen(first); first = this.#freeTargets.peek()) this.#freeTargets.remove(first)
  }

  #choosePrefixHolder (prefixHash: number, excluded?: ReadonlySet<string>): string | undefined {
    const holders: string[] = []
    for (const target of this.prefixes.listHolders(prefixHash) ?? []) {
      if (this.#freeTargets.has(target)) holders.push(target)
      if (holders.length === MAX_COMPARED_HOLDERS) break
    }
    return this.#chooseLeastLoaded(holders, excluded)
  }

  #chooseLeastLoaded (names: readonly string[], excluded?: ReadonlySet<string>): string | undefined {
    let leastLoaded: string | undefined
    for (const name of names) {
      if (excluded?.has(name) || !this.#options.isTargetOpen(name)) continue
      if (leastLoaded === undefined || this.#freeTargets.getPriority(name)! < this.#freeTargets.getPriority(leastLoaded)!) leastLoaded = name
    }
    return leastLoaded
  }

  #removeTarget (name: string): void {
    this.#targets.delete(name)
    this.#freeTargets.remove(name)
    this.prefixes.removeTarget(name)
  }
}
