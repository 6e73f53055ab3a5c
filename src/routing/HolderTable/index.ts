import type { PromptPart } from '../../contract/PromptPart'

/** A part that was not used for this time has probably been evicted. */
const KEPT_MS = 20_000
const MAX_PARTS = 8_192

/**
 * @name HolderTable
 * @category Routing
 * @summary Which targets probably keep which parts of prompts, from the requests that this router sent.
 *
 * @description
 * Times are milliseconds of a monotonic clock. The least recently used parts are forgotten first.
 *
 * @example
 * const holders = new HolderTable()
 * holders.record('i-1', [{ id: 'a', tokens: 800 }], 0)
 * holders.has('i-1', 'a', 1_000) // true
 */
export class HolderTable {
  readonly #parts = new Map<string, Map<string, number>>()

  record (target: string, parts: readonly PromptPart[], nowMs: number): void {
    for (const { id } of parts) {
      const holders = this.#parts.get(id) ?? new Map<string, number>()
      holders.set(target, nowMs)
      this.#parts.delete(id)
      this.#parts.set(id, holders)
    }
    while (this.#parts.size > MAX_PARTS) this.#parts.delete(this.#parts.keys().next().value!)
  }

  has (target: string, part: string, nowMs: number): boolean {
    const usedAtMs = this.#parts.get(part)?.get(target)
    return usedAtMs !== undefined && nowMs - usedAtMs < KEPT_MS
  }

  /** Forgets a target that ended: what it kept is lost. */
  removeTarget (target: string): void {
    for (const holders of this.#parts.values()) holders.delete(target)
  }
}
