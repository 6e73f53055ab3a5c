import type { LoadReport } from '../../contract/LoadReport'

interface Load {
  running: number
  tokens: number
}

const NO_LOAD: Readonly<Load> = { running: 0, tokens: 0 }
/** What the other routers reported counts for this long. */
const OTHERS_VALID_MS = 2_000

/**
 * @name TargetLoads
 * @category Routing
 * @summary What is under way at each target: by this router, and by the others as they last reported.
 *
 * @example
 * const loads = new TargetLoads()
 * const release = loads.add('i-1', { tokens: 4_000 })
 * loads.get('i-1', nowMs).running // 1
 * release()
 */
export class TargetLoads {
  readonly #own = new Map<string, Load>()
  #others = new Map<string, Load>()
  #othersAtMs = -Infinity
  #routers = 1

  /** Routers that reported recently, this one included. */
  get routers (): number {
    return this.#routers
  }

  /** Returns a function that takes the request out again. */
  add (target: string, { tokens }: { tokens: number }): () => void {
    const load = this.#own.get(target) ?? { ...NO_LOAD }
    this.#own.set(target, load)
    load.running++
    load.tokens += tokens
    let isEnded = false
    return () => {
      if (isEnded) return
      isEnded = true
      load.running--
      load.tokens -= tokens
      if (load.running === 0) this.#own.delete(target)
    }
  }

  get (target: string, nowMs: number): Load {
    const own = this.#own.get(target) ?? NO_LOAD
    const others = nowMs - this.#othersAtMs < OTHERS_VALID_MS ? this.#others.get(target) ?? NO_LOAD : NO_LOAD
    return { running: own.running + others.running, tokens: own.tokens + others.tokens }
  }

  setPeerLoads ({ routers, targets }: { routers: number, targets: LoadReport['targets'] }, nowMs: number): void {
    this.#routers = routers
    this.#othersAtMs = nowMs
    this.#others = new Map(targets.map(([target, running, tokens]) => [target, { running, tokens }]))
  }

  createReport (): LoadReport['targets'] {
    return [...this.#own].map(([target, { running, tokens }]) => [target, running, tokens])
  }
}
