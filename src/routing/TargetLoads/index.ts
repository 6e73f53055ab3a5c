import type { LoadReport } from '../../contract/LoadReport'

interface Load {
  /** Requests in flight. */
  running: number
  /** Prompt tokens of these requests. */
  tokens: number
}

const NO_LOAD: Readonly<Load> = { running: 0, tokens: 0 }
/** The loads that other routers reported count for this long. */
const PEER_LOADS_TTL_MS = 2_000
/** Part of the load that is divided equally among the routers while each decides by itself. */
const EQUAL_PART = 0.5

/**
 * @name TargetLoads
 * @category Routing
 * @summary Requests in flight at each target: those of this router, and those that the other routers last reported.
 *
 * @example
 * const loads = new TargetLoads()
 * const release = loads.add('i-1', { tokens: 4_000 })
 * loads.get('i-1', nowMs).running // 1
 * release()
 */
export class TargetLoads {
  readonly #own = new Map<string, Load>()
  #peers = new Map<string, Load>()
  #peersUpdatedAtMs = -Infinity
  #routers = 1
  #ownShare = 1

  /** Number of routers in the newest summary, this one included; 1 before the first. Unlike loads, it doesn't expire. */
  get routers (): number {
    return this.#routers
  }

  /**
   * Part of the load of all routers that this one may place alone: half of it is divided equally, and half by the requests
   * in flight at the newest summary, so that a router with much traffic can go on. The parts of all routers add up to 1.
   */
  get ownShare (): number {
    return this.#ownShare
  }

  /** Counts a request at a target; the returned function removes it, and has no effect when it is called again. */
  add (target: string, { tokens }: { tokens: number }): () => void {
    const load = this.#own.get(target) ?? { ...NO_LOAD }
    this.#own.set(target, load)
    load.running++
    load.tokens += tokens
    let isReleased = false
    return () => {
      if (isReleased) return
      isReleased = true
      load.running--
      load.tokens -= tokens
      if (load.running === 0) this.#own.delete(target)
    }
  }

  get (target: string, nowMs: number): Load {
    const own = this.#own.get(target) ?? NO_LOAD
    const peers = nowMs - this.#peersUpdatedAtMs < PEER_LOADS_TTL_MS ? this.#peers.get(target) ?? NO_LOAD : NO_LOAD
    return { running: own.running + peers.running, tokens: own.tokens + peers.tokens }
  }

  setPeerLoads ({ routers, targets }: { routers: number, targets: LoadReport['targets'] }, nowMs: number): void {
    this.#routers = routers
    this.#peersUpdatedAtMs = nowMs
    this.#peers = new Map(targets.map(([target, running, tokens]) => [target, { running, tokens }]))
    const own = countRunning(this.#own)
    const all = own + countRunning(this.#peers)
    this.#ownShare = EQUAL_PART / routers + (1 - EQUAL_PART) * (all > 0 ? own / all : 1 / routers)
  }

  createReport (): LoadReport['targets'] {
    return [...this.#own].map(([target, { running, tokens }]) => [target, running, tokens])
  }
}

function countRunning (loads: ReadonlyMap<string, Load>): number {
  let sum = 0
  for (const { running } of loads.values()) sum += running
  return sum
}
