import type { PromptPart } from '../../contract/PromptPart'
import { computePrefillMs } from '../computePrefillMs'

/**
 * A working engine sends the first event of one of its calls within this time plus the outstanding prefill time; an
 * unreachable or hung engine sends nothing.
 */
const UNRESPONSIVE_AFTER_MS = 1_000

/**
 * @name EngineState
 * @category Routing
 * @summary Estimated state of one engine: running calls, outstanding prefill work and probably cached prompt parts.
 *
 * @description
 * Cached prompt parts and running requests share the memory of the engine. When it is full, the least recently used
 * parts are evicted, except those that running requests use.
 *
 * @param memoryTokens - Memory of the engine in tokens.
 *
 * @example
 * const engine = new EngineState(444_000)
 * engine.computePrefill([{ id: 'a', tokens: 800 }], 900).readMs
 */
export class EngineState {
  readonly #memoryTokens: number
  /** Tokens of each cached part, the least recently used first. */
  readonly #cachedParts = new Map<string, number>()
  /** Number of running requests that use each part. */
  readonly #activeUses = new Map<string, number>()
  /** Time of placement of each call that has not sent its first event, the oldest first. */
  readonly #pendingPrefills = new Map<string, number>()
  #lastFirstEventMs = -Infinity
  #cachedTokens = 0
  /** Number of running calls. */
  running = 0
  /** Sum of the estimated prefill times of the calls that have not sent their first event. */
  pendingPrefillMs = 0

  constructor (memoryTokens: number) {
    this.#memoryTokens = memoryTokens
  }

  isCached (part: string): boolean {
    return this.#cachedParts.has(part)
  }

  /** Estimates the prefill time of a prompt. The first `assumedParts` parts count as cached whether or not they are. */
  computePrefill (parts: readonly PromptPart[], promptTokens: number, assumedParts = 0): { readMs: number, cachedTokens: number } {
    let cachedTokens = 0
    for (const [index, { id, tokens }] of parts.entries()) {
      if (index >= assumedParts && !this.#cachedParts.has(id)) break
      cachedTokens += tokens
    }
    return { readMs: computePrefillMs(Math.max(1, promptTokens - cachedTokens), cachedTokens), cachedTokens }
  }

  start ({ id, parts, readMs }: { id: string, parts: readonly PromptPart[], readMs: number }, nowMs: number): void {
    this.running++
    this.pendingPrefillMs += readMs
    this.#pendingPrefills.set(id, nowMs)
    for (const { id, tokens } of parts) {
      if (!this.#cachedParts.has(id)) this.#cachedTokens += tokens
      this.#cachedParts.delete(id)
      this.#cachedParts.set(id, tokens)
      this.#activeUses.set(id, (this.#activeUses.get(id) ?? 0) + 1)
    }
    this.#evict()
  }

  /** Records the first event of a call, which ends its prefill. */
  recordFirstEvent ({ id, readMs }: { id: string, readMs: number }, nowMs: number): void {
    this.#lastFirstEventMs = nowMs
    this.#removePending(id, readMs)
  }

  /** Whether no first event has arrived since the oldest pending call was placed, although that call is overdue. */
  isUnresponsive (nowMs: number): boolean {
    const [oldestMs] = this.#pendingPrefills.values()
    return oldestMs !== undefined && this.#lastFirstEventMs < oldestMs && nowMs - oldestMs > UNRESPONSIVE_AFTER_MS + this.pendingPrefillMs
  }

  stop ({ id, parts, readMs }: { id: string, parts: readonly PromptPart[], readMs: number }): void {
    this.running--
    this.#removePending(id, readMs)
    for (const { id } of parts) {
      const uses = (this.#activeUses.get(id) ?? 1) - 1
      if (uses > 0) this.#activeUses.set(id, uses)
      else this.#activeUses.delete(id)
    }
  }

  #removePending (id: string, readMs: number): void {
    if (this.#pendingPrefills.delete(id)) this.pendingPrefillMs = Math.max(0, this.pendingPrefillMs - readMs)
  }

  #evict (): void {
    if (this.#cachedTokens <= this.#memoryTokens) return
    for (const [id, tokens] of this.#cachedParts) {
      if (this.#activeUses.has(id)) continue
      this.#cachedParts.delete(id)
      this.#cachedTokens -= tokens
      if (this.#cachedTokens <= this.#memoryTokens) return
    }
  }
}
