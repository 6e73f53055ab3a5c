/** An account with more than this many times the recent use of the reserving account has to wait. */
const MAX_USE_RATIO = 2
/** Added to this bound, about the engine time of one large prompt: accounts whose use differs by less count as equal. */
const USE_ALLOWANCE_MS = 300

/**
 * @name EngineReservations
 * @category Routing
 * @summary Engines whose next free capacity is reserved for a waiting request of an account with less recent use.
 *
 * @description
 * Prevents starvation of large prompts when two accounts are hot, one with many small prompts and one with few large
 * ones: without a reservation, small prompts that arrive meanwhile take up capacity as it becomes free, and a large
 * prompt never fits. A reserved engine isn't idle, because it works through its outstanding prefill. Use is the recent
 * engine time of an account in milliseconds, as AccountUsage computes it.
 *
 * @example
 * reservations.add('t1', 100)
 * reservations.isAvailable('t1', 900) // false: an account with 900 ms of use waits until the reserving request is placed
 * reservations.isAvailable('t1', 150) // true
 */
export class EngineReservations {
  /** Recent use of the account that has reserved each target. */
  readonly #uses = new Map<string, number>()

  /** Reserves an engine for an account with this use, unless an account with less use has reserved it. */
  add (target: string, use: number): void {
    this.#uses.set(target, Math.min(use, this.#uses.get(target) ?? Infinity))
  }

  /** Whether an account with this use may place a request at the engine. */
  isAvailable (target: string, use: number): boolean {
    const holderUse = this.#uses.get(target)
    return holderUse === undefined || use <= MAX_USE_RATIO * holderUse + USE_ALLOWANCE_MS
  }

  clear (): void {
    this.#uses.clear()
  }
}
