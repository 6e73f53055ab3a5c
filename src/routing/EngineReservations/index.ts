/** An account with more than this many times the recent service of the reserving account has to wait. */
const MAX_SERVICE_RATIO = 1.5
/** Added to this bound, about the size of one prompt: accounts whose service differs by less count as equal. */
const ALLOWANCE_TOKENS = 10_000

/**
 * @name EngineReservations
 * @category Routing
 * @summary Engines whose next free capacity is reserved for a waiting request of an account with less recent service.
 *
 * @description
 * Prevents starvation of large prompts when two accounts are hot, one with many small prompts and one with few large
 * ones: without a reservation, small prompts that arrive meanwhile take up capacity as it becomes free, and a large
 * prompt never fits. A reserved engine isn't idle, because it works through its outstanding prefill. Service is that of an
 * account in recent tokens, as AccountShares counts them.
 *
 * @example
 * reservations.add('t1', 100_000)
 * reservations.isAvailable('t1', 900_000) // false: an account with 900,000 tokens waits until the reserving request is placed
 * reservations.isAvailable('t1', 150_000) // true
 */
export class EngineReservations {
  /** Recent service of the account that has reserved each target. */
  readonly #services = new Map<string, number>()

  /** Reserves an engine for an account with this service, unless an account with less has reserved it. */
  add (target: string, service: number): void {
    this.#services.set(target, Math.min(service, this.#services.get(target) ?? Infinity))
  }

  /** Whether an account with this service may place a request at the engine. */
  isAvailable (target: string, service: number): boolean {
    const holderService = this.#services.get(target)
    return holderService === undefined || service <= MAX_SERVICE_RATIO * holderService + ALLOWANCE_TOKENS
  }

  clear (): void {
    this.#services.clear()
  }
}
