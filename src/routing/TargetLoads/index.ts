import type { LoadReport } from '../../contract/LoadReport'

interface Load {
  running: number
  /** Estimated time to read the prompts that were sent and whose first event has not come. */
  pendingMs: number
  tokens: number
}

interface CallLoad {
  readMs: number
  tokens: number
}

const NO_LOAD: Readonly<Load> = { running: 0, pendingMs: 0, tokens: 0 }
/** What the other routers reported counts for this long. */
const OTHERS_VALID_MS = 2_000

/**
 * @name TargetLoads
 * @category Routing
 * @summary What is under way at each target: by this router, and by the others as they last reported.
 *
 * @example
 * const loads = new TargetLoads()
 * const load = loads.add('i-1', { readMs: 80, tokens: 4_000 })
 * loads.get('i-1', nowMs).running // 1
 * load.release()
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

  add (target: string, { readMs, tokens }: CallLoad): { read: () => void, release: () => void } {
    const load = this.#own.get(target) ?? { ...NO_LOAD }
    this.#own.set(target, load)
    load.running++
    load.pendingMs += readMs
    load.tokens += tokens
    let isRead = false
    let isEnded = false
    const read = (): void => {
      if (!isRead) load.pendingMs -= readMs
      isRead = true
    }
    const release = (): void => {
      if (isEnded) return
      isEnded = true
      read()
      load.running--
      load.tokens -= tokens
      if (load.running === 0) this.#own.delete(target)
    }
    return { read, release }
  }

  get (target: string, nowMs: number): Load {
    const own = this.#own.get(target) ?? NO_LOAD
    const others = nowMs - this.#othersAtMs < OTHERS_VALID_MS ? this.#others.get(target) ?? NO_LOAD : NO_LOAD
    return { running: own.running + others.running, pendingMs: own.pendingMs + others.pendingMs, tokens: own.tokens + others.tokens }
  }

  setOthers ({ routers, targets }: { routers: number, targets: LoadReport['targets'] }, nowMs: number): void {
    this.#routers = routers
    this.#othersAtMs = nowMs
    this.#others = new Map(targets.map(([target, running, pendingMs, tokens]) => [target, { running, pendingMs, tokens }]))
  }

  createReport (): LoadReport['targets'] {
    return [...this.#own].map(([target, { running, pendingMs, tokens }]) => [target, running, Math.round(pendingMs), tokens])
  }
}
