import { ConcurrencyLimit } from '../ConcurrencyLimit'
import { IndexedHeap } from '../IndexedHeap'
import { PrefixIndex } from '../PrefixIndex'

const FIRST_BLOCK_MS = 250
const MAX_BLOCK_MS = 5_000
/** Holders of a prefix that are compared; the choice among many holders matters little. */
const MAX_HOLDERS = 8

interface TargetSettings {
  name: string
  slots: number
}

interface TargetState {
  limit: ConcurrencyLimit
  inUse: number
  failures: number
  blockedUntilMs: number
}

interface TargetPoolOptions {
  /** False while the target is drained or otherwise closed. */
  isTargetOpen: (target: string) => boolean
}

/**
 * @name TargetPool
 * @category Schedule
 * @summary Slots of the targets of one service in one zone, and the choice among free ones.
 *
 * @description
 * A target that holds the prompt's prefix is preferred, then the least loaded one. A target that failed gets no grant
 * for a time that doubles with each failure in a row, because a dead target frees its slots at once and would otherwise
 * attract all requests.
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
  readonly #free = new IndexedHeap<string>()
  /** Time of the last tick. */
  #nowMs = 0

  constructor (options: TargetPoolOptions) {
    this.#options = options
  }

  get hasFree (): boolean {
    return this.#free.size > 0
  }

  setTargets (targets: readonly TargetSettings[]): void {
    const names = new Set(targets.map(target => target.name))
    for (const name of this.#targets.keys()) {
      if (!names.has(name)) this.#removeTarget(name)
    }
    for (const { name, slots } of targets) {
      const state = this.#targets.get(name)
      if (state) state.limit.setSlots(slots)
      else this.#targets.set(name, { limit: new ConcurrencyLimit({ slots }), inUse: 0, failures: 0, blockedUntilMs: 0 })
      this.#update(name, this.#nowMs)
    }
  }

  /** Brings the list of free targets up to date with drains, blocks and limits. */
  tick (nowMs: number): void {
    this.#nowMs = nowMs
    for (const name of this.#targets.keys()) this.#update(name, nowMs)
  }

  choose (wish: { prefixHash?: number, excluded?: ReadonlySet<string> }): string | undefined {
    const holder = wish.prefixHash === undefined ? undefined : this.#chooseHolder(wish.prefixHash, wish.excluded)
    if (holder !== undefined) return holder
    this.#removeClosed()
    const first = this.#free.peek()
    if (first === undefined || !wish.excluded?.has(first)) return first
    return this.#chooseLeast(this.#free.list(), wish.excluded)
  }

  take (target: string, nowMs: number): void {
    const state = this.#targets.get(target)
    if (!state) return
    state.inUse++
    this.#update(target, nowMs)
  }

  release (target: string, nowMs: number, isHealthy = true): void {
    const state = this.#targets.get(target)
    if (!state) return
    state.inUse = Math.max(0, state.inUse - 1)
    if (isHealthy) state.failures = 0
    else this.#recordFailure(state, nowMs)
    this.#update(target, nowMs)
  }

  observeLoad (target: string, nowMs: number, load: { running: number, waiting: number, lagMs: number }): void {
    const state = this.#targets.get(target)
    if (!state) return
    state.limit.observe(nowMs, { ...load, inUse: state.inUse })
    this.#update(target, nowMs)
  }

  /** Free slots, for metrics and measurements. */
  countFreeSlots (): number {
    return this.#free.list().reduce((sum, name) => sum + this.#countFreeOf(name), 0)
  }

  getLimit (target: string): number {
    return this.#targets.get(target)?.limit.value ?? 0
  }

  countInUse (target: string): number {
    return this.#targets.get(target)?.inUse ?? 0
  }

  #countFreeOf (name: string): number {
    const state = this.#targets.get(name)
    return state ? Math.max(0, state.limit.value - state.inUse) : 0
  }

  #recordFailure (state: TargetState, nowMs: number): void {
    state.blockedUntilMs = nowMs + Math.min(FIRST_BLOCK_MS * 2 ** state.failures, MAX_BLOCK_MS)
    state.failures++
  }

  #update (name: string, nowMs: number): void {
    const state = this.#targets.get(name)!
    const isUsable = state.inUse < state.limit.value && nowMs >= state.blockedUntilMs && this.#options.isTargetOpen(name)
    if (isUsable) this.#free.set(name, state.inUse / state.limit.value)
    else this.#free.remove(name)
  }

  #removeClosed (): void {
    for (let first = this.#free.peek(); first !== undefined && !this.#options.isTargetOpen(first); first = this.#free.peek()) this.#free.remove(first)
  }

  #chooseHolder (prefixHash: number, excluded?: ReadonlySet<string>): string | undefined {
    const holders: string[] = []
    for (const target of this.prefixes.listHolders(prefixHash) ?? []) {
      if (this.#free.has(target)) holders.push(target)
      if (holders.length === MAX_HOLDERS) break
    }
    return this.#chooseLeast(holders, excluded)
  }

  #chooseLeast (names: readonly string[], excluded?: ReadonlySet<string>): string | undefined {
    let least: string | undefined
    for (const name of names) {
      if (excluded?.has(name) || !this.#options.isTargetOpen(name)) continue
      if (least === undefined || this.#free.getPriority(name)! < this.#free.getPriority(least)!) least = name
    }
    return least
  }

  #removeTarget (name: string): void {
    this.#targets.delete(name)
    this.#free.remove(name)
    this.prefixes.removeTarget(name)
  }
}
