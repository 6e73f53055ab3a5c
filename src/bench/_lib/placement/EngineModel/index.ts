import type { PromptPart } from '../../../../contract/PromptPart'
import type { EngineParameters } from '../EngineParameters'
import type { EventQueue } from '../EventQueue'

interface EngineRun {
  parts: readonly PromptPart[]
  outputTokens: number
  onEvent: (index: number) => void
  onEnd: () => void
}

interface ActiveRun extends EngineRun {
  pendingPromptTokens: number
  processedPromptTokens: number
  generatedTokens: number
  isCancelled: boolean
}

/**
 * Simulated engine with continuous batching and chunked prefill: each step processes a chunk of prompt tokens and
 * generates one token for every request whose prompt is complete. A step takes longer the more context the generating
 * requests have. The memory holds prompt parts only; generated tokens take no memory. Parts of running requests are not
 * evicted; the others are evicted in least-recently-used order. Preemption and delayed reports are not modelled.
 */
export class EngineModel {
  readonly #events: EventQueue
  readonly #parameters: EngineParameters
  /** Token counts of the cached prompt parts by id, least recently used first. */
  readonly #cached = new Map<string, number>()
  readonly #queue: ActiveRun[] = []
  #running: ActiveRun[] = []
  #cachedTokens = 0
  #isStepping = false
  /** Factor on the duration of each step. */
  slowdown = 1
  /** Processed prompt tokens: those that were not found in the cache, but at least one for each request. */
  prefilledTokens = 0
  /** Prompt tokens that were found in the cache. */
  cacheHitTokens = 0

  constructor (events: EventQueue, parameters: EngineParameters) {
    this.#events = events
    this.#parameters = parameters
  }

  /** Queued and running requests. */
  get load (): number {
    return this.#queue.length + this.#running.length
  }

  /** Starts a request; the returned function cancels it. */
  start (run: EngineRun): () => void {
    const active: ActiveRun = { ...run, pendingPromptTokens: 0, processedPromptTokens: 0, generatedTokens: 0, isCancelled: false }
    this.#queue.push(active)
    this.#startStep()
    return () => { active.isCancelled = true }
  }

  #startStep (): void {
    if (this.#isStepping) return
    this.#admit()
    if (this.#running.length === 0) return
    this.#isStepping = true
    const { stepMs, contextMsPerThousandTokens, prefillTokensPerMs, attentionMsPerMillionPairs, prefillChunkTokens } = this.#parameters
    let remainingChunkTokens = prefillChunkTokens
    let attentionPairs = 0
    let contextTokens = 0
    const prefills: Array<[ActiveRun, number]> = []
    for (const run of this.#running) {
      const tokens = Math.min(remainingChunkTokens, run.pendingPromptTokens)
      if (tokens > 0) prefills.push([run, tokens])
      attentionPairs += tokens * (run.processedPromptTokens + tokens / 2)
      remainingChunkTokens -= tokens
      if (run.pendingPromptTokens === 0) contextTokens += run.processedPromptTokens + run.generatedTokens
    }
    const ms = stepMs + contextTokens / 1e3 * contextMsPerThousandTokens + (prefillChunkTokens - remainingChunkTokens) / prefillTokensPerMs + attentionPairs / 1e6 * attentionMsPerMillionPairs
    this.#events.schedule(ms * this.slowdown, () => this.#completeStep(prefills))
  }

  #completeStep (prefills: ReadonlyArray<[ActiveRun, number]>): void {
    this.#isStepping = false
    const generating = this.#running.filter(run => run.pendingPromptTokens === 0)
    for (const [run, tokens] of prefills) {
      run.pendingPromptTokens -= tokens
      run.processedPromptTokens += tokens
      this.prefilledTokens += tokens
    }
    for (const run of generating) this.#addGeneratedToken(run)
    this.#running = this.#running.filter(run => !run.isCancelled && run.generatedTokens < run.outputTokens)
    this.#startStep()
  }

  #addGeneratedToken (run: ActiveRun): void {
    run.generatedTokens++
    const { tokensPerEvent, eventDelayMs } = this.#parameters
    if (run.isCancelled) return
    const index = Math.ceil(run.generatedTokens / tokensPerEvent)
    // An event is sent with its first token, so that the first event marks the first token.
    if (run.generatedTokens % tokensPerEvent === 1 || tokensPerEvent === 1) this.#events.schedule(eventDelayMs, () => { if (!run.isCancelled) run.onEvent(index) })
    if (run.generatedTokens < run.outputTokens) return
    this.#recordUse(run.parts)
    this.#events.schedule(eventDelayMs, () => { if (!run.isCancelled) run.onEnd() })
  }

  #admit (): void {
    while (this.#queue.length > 0 && this.#running.length < this.#parameters.slots) {
      const run = this.#queue.shift()!
      if (run.isCancelled) continue
      const firstMissing = run.parts.findIndex(({ id }) => !this.#cached.has(id))
      const cachedParts = firstMissing === -1 ? run.parts : run.parts.slice(0, firstMissing)
      run.processedPromptTokens = cachedParts.reduce((sum, { tokens }) => sum + tokens, 0)
      run.pendingPromptTokens = Math.max(1, run.parts.reduce((sum, { tokens }) => sum + tokens, 0) - run.processedPromptTokens)
      this.cacheHitTokens += run.processedPromptTokens
      this.#running.push(run)
      this.#recordUse(run.parts)
    }
  }

  /**
   * Marks parts as most recently used and evicts other parts while the memory is full, except parts of running
   * requests.
   */
  #recordUse (parts: readonly PromptPart[]): void {
    for (const { id, tokens } of parts) {
      if (!this.#cached.has(id)) this.#cachedTokens += tokens
      this.#cached.delete(id)
      this.#cached.set(id, tokens)
    }
    const pinned = new Set(this.#running.flatMap(run => run.parts.map(({ id }) => id)))
    for (const [id, tokens] of this.#cached) {
      if (this.#cachedTokens <= this.#parameters.memoryTokens) return
      if (pinned.has(id)) continue
      this.#cached.delete(id)
      this.#cachedTokens -= tokens
    }
  }
}
