import type { PromptPart } from '../../../../contract/PromptPart'
import type { EngineRates } from '../EngineRates'
import type { EventQueue } from '../EventQueue'

interface EngineRun {
  parts: readonly PromptPart[]
  outputTokens: number
  onEvent: (index: number) => void
  onEnd: () => void
}

interface ActiveRun extends EngineRun {
  unread: number
  read: number
  made: number
  isCancelled: boolean
}

/**
 * An engine with continuous batching: prompts are read in chunks between the tokens of all running requests, a step
 * takes longer the more context runs, and running requests share the memory with kept parts, of which the least
 * recently used yield. Preemption and lagging reports are left out.
 */
export class EngineModel {
  readonly #events: EventQueue
  readonly #rates: EngineRates
  /** Parts that are kept, the least recently used first. */
  readonly #kept = new Map<string, number>()
  readonly #queue: ActiveRun[] = []
  #running: ActiveRun[] = []
  #keptTokens = 0
  #isStepping = false
  slowdown = 1
  readTokens = 0
  foundTokens = 0

  constructor (events: EventQueue, rates: EngineRates) {
    this.#events = events
    this.#rates = rates
  }

  get load (): number {
    return this.#queue.length + this.#running.length
  }

  /** Starts a request; the returned function cancels it. */
  start (run: EngineRun): () => void {
    const active: ActiveRun = { ...run, unread: 0, read: 0, made: 0, isCancelled: false }
    this.#queue.push(active)
    this.#startStep()
    return () => { active.isCancelled = true }
  }

  #startStep (): void {
    if (this.#isStepping) return
    this.#admit()
    if (this.#running.length === 0) return
    this.#isStepping = true
    const { stepMs, contextMsPerThousand, readTokensPerMs, pairMsPerMillion, chunkTokens } = this.#rates
    let budget = chunkTokens
    let pairs = 0
    let context = 0
    const readers: Array<[ActiveRun, number]> = []
    for (const run of this.#running) {
      const tokens = Math.min(budget, run.unread)
      if (tokens > 0) readers.push([run, tokens])
      pairs += tokens * (run.read + tokens / 2)
      budget -= tokens
      if (run.unread === 0) context += run.read + run.made
    }
    const ms = stepMs + context / 1e3 * contextMsPerThousand + (chunkTokens - budget) / readTokensPerMs + pairs / 1e6 * pairMsPerMillion
    this.#events.schedule(ms * this.slowdown, () => this.#completeStep(readers))
  }

  #completeStep (readers: ReadonlyArray<[ActiveRun, number]>): void {
    this.#isStepping = false
    const generating = this.#running.filter(run => run.unread === 0)
    for (const [run, tokens] of readers) {
      run.unread -= tokens
      run.read += tokens
      this.readTokens += tokens
    }
    for (const run of generating) this.#stepRun(run)
    this.#running = this.#running.filter(run => !run.isCancelled && run.made < run.outputTokens)
    this.#startStep()
  }

  #stepRun (run: ActiveRun): void {
    run.made++
    const { tokensPerEvent, firstMs } = this.#rates
    if (run.isCancelled) return
    const index = Math.ceil(run.made / tokensPerEvent)
    // The first event comes with the first token.
    if (run.made % tokensPerEvent === 1 || tokensPerEvent === 1) this.#events.schedule(firstMs, () => { if (!run.isCancelled) run.onEvent(index) })
    if (run.made < run.outputTokens) return
    this.#recordUse(run.parts)
    this.#events.schedule(firstMs, () => { if (!run.isCancelled) run.onEnd() })
  }

  #admit (): void {
    while (this.#queue.length > 0 && this.#running.length < this.#rates.slots) {
      const run = this.#queue.shift()!
      if (run.isCancelled) continue
      const missing = run.parts.findIndex(({ id }) => !this.#kept.has(id))
      const known = missing === -1 ? run.parts : run.parts.slice(0, missing)
      run.read = known.reduce((sum, { tokens }) => sum + tokens, 0)
      run.unread = Math.max(1, run.parts.reduce((sum, { tokens }) => sum + tokens, 0) - run.read)
      this.foundTokens += run.read
      this.#running.push(run)
      this.#recordUse(run.parts)
    }
  }

  /** Marks parts as used most recently and evicts others while the memory is full. Parts of running requests stay. */
  #recordUse (parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
      if (!this.#kept.has(id)) this.#keptTokens += tokens
      this.#kept.delete(id)
      this.#kept.set(id, tokens)
    }
    const pinned = new Set(this.#running.flatMap(run => run.parts.map(({ id }) => id)))
    for (const [id, tokens] of this.#kept) {
      if (this.#keptTokens <= this.#rates.memoryTokens) return
      if (pinned.has(id)) continue
      this.#kept.delete(id)
      this.#keptTokens -= tokens
    }
  }
}
