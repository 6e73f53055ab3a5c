import type { PromptPart } from '../../contract/PromptPart'
import { computeReadMs } from '../computeReadMs'

/** An engine that is unreachable or hangs says nothing; a busy one begins one of its calls within this time. */
const SILENT_AFTER_MS = 1_000

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
  /** When the calls were placed whose first event has not come, the oldest first. */
  readonly #unread = new Map<string, number>()
  #lastReadMs = -Infinity
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

  /** Estimated time to read a prompt here, given the parts that are kept and a number of first parts that are taken as kept. */
  computeRead (parts: readonly PromptPart[], promptTokens: number, assumedParts = 0): { readMs: number, keptTokens: number } {
    let keptTokens = 0
    for (const [index, { id, tokens }] of parts.entries()) {
      if (index >= assumedParts && !this.#kept.has(id)) break
      keptTokens += tokens
    }
    return { readMs: computeReadMs(Math.max(1, promptTokens - keptTokens), keptTokens), keptTokens }
  }

  start ({ id, parts, readMs }: { id: string, parts: readonly PromptPart[], readMs: number }, nowMs: number): void {
    this.running++
    this.pendingMs += readMs
    this.#unread.set(id, nowMs)
    for (const { id, tokens } of parts) {
      if (!this.#kept.has(id)) this.#keptTokens += tokens
      this.#kept.delete(id)
      this.#kept.set(id, tokens)
      this.#users.set(id, (this.#users.get(id) ?? 0) + 1)
    }
    this.#evict()
  }

  /** The first event of a call came. */
  read ({ id, readMs }: { id: string, readMs: number }, nowMs: number): void {
    this.#lastReadMs = nowMs
    this.#removeUnread(id, readMs)
  }

  /** Whether nothing has come from the engine since a call was placed that should long have begun. */
  isSilent (nowMs: number): boolean {
    const [oldestMs] = this.#unread.values()
    return oldestMs !== undefined && this.#lastReadMs < oldestMs && nowMs - oldestMs > SILENT_AFTER_MS + this.pendingMs
  }

  stop ({ id, parts, readMs }: { id: string, parts: readonly PromptPart[], readMs: number }): void {
    this.running--
    this.#removeUnread(id, readMs)
    for (const { id } of parts) {
      const users = (this.#users.get(id) ?? 1) - 1
      if (users > 0) this.#users.set(id, users)
      else this.#users.delete(id)
    }
  }

  #removeUnread (id: string, readMs: number): void {
    if (this.#unread.delete(id)) this.pendingMs = Math.max(0, this.pendingMs - readMs)
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
