/** An account with more than this many times the use of the waiting one has had its turn. */
const USE_RATIO = 2
/** Engine time of about one large prompt: accounts that differ by less are served alike. */
const ALLOWANCE_MS = 300

/**
 * @name EngineHolds
 * @category Routing
 * @summary Engines whose next room belongs to a waiting request of an account that has used less than others.
 *
 * @description
 * Answers the load pattern of two hot accounts, one with many small prompts and one with few large ones: room for a
 * large prompt appears only if the small ones that arrive meanwhile don't take it piece by piece. A held engine works
 * off what it has to read, so it isn't idle. Uses are the milliseconds of AccountUsage.
 *
 * @example
 * holds.add('t1', 100)
 * holds.isOpen('t1', 900) // false: an account that has used 900 ms waits until the other one is placed
 * holds.isOpen('t1', 150) // true
 */
export class EngineHolds {
  readonly #uses = new Map<string, number>()

  /** Holds an engine for an account with this use, unless one with less use holds it. */
  add (target: string, use: number): void {
    this.#uses.set(target, Math.min(use, this.#uses.get(target) ?? Infinity))
  }

  isOpen (target: string, use: number): boolean {
    const holderUse = this.#uses.get(target)
    return holderUse === undefined || use <= USE_RATIO * holderUse + ALLOWANCE_MS
  }

  clear (): void {
    this.#uses.clear()
  }
}
