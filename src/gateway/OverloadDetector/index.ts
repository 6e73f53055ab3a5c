/** Time over which the delays are judged. */
const WINDOW_MS = 2_000
/** A longer delay is more likely a paused process than load, and must not decide alone. */
const MAX_DELAY_MS = 500
/** Share of the window spent waiting for the event loop at which new callers are served sooner elsewhere. */
const OVERLOAD_SHARE = 0.5
const RECOVERY_SHARE = 0.1

/**
 * @name OverloadDetector
 * @category Gateway
 * @summary Tells from delays of the event loop whether this router has more work than processor time.
 *
 * @description
 * Answers the load of one caller whose requests all reach one router: its queue of connections grows until callers give
 * up before they are accepted, while the routers next to it are idle. A router that says it is not ready gets no new
 * connections, and keeps those that it can serve.
 *
 * @example
 * const detector = new OverloadDetector()
 * detector.addDelay(300, performance.now())
 * detector.isOverloaded // false: one delay alone doesn't decide
 */
export class OverloadDetector {
  readonly #delays: Array<{ atMs: number, delayMs: number }> = []
  #isOverloaded = false

  get isOverloaded (): boolean {
    return this.#isOverloaded
  }

  /** Records how much later than planned a timer ran. Returns whether the state changed. */
  addDelay (delayMs: number, nowMs: number): boolean {
    this.#delays.push({ atMs: nowMs, delayMs: Math.min(delayMs, MAX_DELAY_MS) })
    while (nowMs - this.#delays[0].atMs > WINDOW_MS) this.#delays.shift()
    const share = this.#delays.reduce((sum, delay) => sum + delay.delayMs, 0) / WINDOW_MS
    const before = this.#isOverloaded
    this.#isOverloaded = share > (before ? RECOVERY_SHARE : OVERLOAD_SHARE)
    return this.#isOverloaded !== before
  }
}
