import type { PromptPart } from '../../contract/PromptPart'
import { computeReadMs } from '../computeReadMs'

/**
 * @name EngineState
 * @category Routing
 * @summary What is known of one engine: what it runs, what it still has to read, and which parts it probably keeps.
 *
 * @description
 * Kept parts and running requests share the memory of the engine; the least recently used parts yield, except those of
 * running requests.
 *
 * @param memoryTokens - Memory of the engine in tokens.
 *
 * @example
 * const engine = new EngineState(444_000)
 * engine.computeRead([{ id: 'a', tokens: 800 }], 900).readMs
 */
export class EngineState {
  readonly #memoryTokens: number
  /** Tokens of the kept parts, the least recently used first. */
  readonly #kept = new Map<string, number>()
  readonly #users = new Map<string, number>()
  #keptTokens = 0
  running = 0
  /** Estimated time to read the prompts that were placed and not read yet. */
  pendingMs = 0

  constructor (memoryTokens: number) {
    this.#memoryTokens = memoryTokens
  }

  has (part: string): boolean {
    return this.#kept.has(part)
  }

  /** Estimated time to read a prompt here, given the parts that are kept. */
  computeRead (parts: readonly PromptPart[], promptTokens: number): { readMs: number, keptTokens: number } {
    let keptTokens = 0
    for (const { id, tokens } of parts) {
      if (!this.#kept.has(id)) break
      keptTokens += tokens
    }
    return { readMs: computeReadMs(Math.max(1, promptTokens - keptTokens), keptTokens), keptTokens }
  }

  start (parts: readonly PromptPart[], readMs: number): void {
    this.running++
    this.pendingMs += readMs
    for (const { id, tokens } of parts) {
      if (!this.#kept.has(id)) this.#keptTokens += tokens
      this.#kept.delete(id)
      this.#kept.set(id, tokens)
      this.#users.set(id, (this.#users.get(id) ?? 0) + 1)
    }
    this.#evict()
  }

  read (readMs: number): void {
    this.pendingMs = Math.max(0, this.pendingMs - readMs)
  }

  stop (parts: readonly PromptPart[]): void {
    this.running--
    for (const { id } of parts) {
      const users = (this.#users.get(id) ?? 1) - 1
      if (users > 0) this.#users.set(id, users)
      else this.#users.delete(id)
    }
  }

  #evict (): void {
    if (this.#keptTokens <= this.#memoryTokens) return
    for (const [id, tokens] of this.#kept) {
      if (this.#users.has(id)) continue
      this.#kept.delete(id)
      this.#keptTokens -= tokens
      if (this.#keptTokens <= this.#memoryTokens) return
    }
  }
}
