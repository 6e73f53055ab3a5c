const ADDITIVE_INCREASE = 1
const DECREASE_FACTOR = 0.8

interface ConcurrencyLimitOptions {
  /** Upper bound from the settings, and the limit until the first report. */
  slots: number
}

interface LoadSample {
  /** Requests that the target runs. */
  running: number
  /** Requests that the target queues. */
  waiting: number
  /** Slots in use when the sample arrived. */
  inUse: number
  /** Reporting lag: a decrease of the limit shows only in reports taken this much later. */
  lagMs: number
}

/**
 * @name ConcurrencyLimit
 * @category Schedule
 * @summary Adapts the limit of concurrent requests to what a target runs without queuing.
 *
 * @description
 * Additive increase while the target queues nothing and all slots are in use; multiplicative decrease when it queues.
 * After a change, reports are ignored for the reporting lag, because they may still show the time before the change:
 * lagging reports would otherwise cause several decreases for one queue. The limit stays between 1 and the configured
 * slots.
 *
 * @param options - Configured slots.
 *
 * @example
 * const limit = new ConcurrencyLimit({ slots: 8 })
 * limit.observe(0, { running: 6, waiting: 2, inUse: 8, lagMs: 500 })
 * limit.value // 6
 */
export class ConcurrencyLimit {
  #slots: number
  #value: number
  #ignoreReportsUntilMs = -Infinity

  constructor (options: ConcurrencyLimitOptions) {
    this.#slots = options.slots
    this.#value = options.slots
  }

  get value (): number {
    return Math.max(1, Math.floor(this.#value))
  }

  setSlots (slots: number): void {
    if (slots === this.#slots) return
    this.#slots = slots
    this.#value = slots
  }

  observe (nowMs: number, sample: LoadSample): void {
    if (nowMs < this.#ignoreReportsUntilMs) return
    if (sample.waiting > 0) this.#setValue(nowMs, Math.max(sample.running, this.#value * DECREASE_FACTOR), sample.lagMs)
    else if (sample.inUse >= this.value) this.#setValue(nowMs, this.#value + ADDITIVE_INCREASE, sample.lagMs)
  }

  #setValue (nowMs: number, value: number, lagMs: number): void {
    const next = Math.min(Math.max(value, 1), this.#slots)
    if (next === this.#value) return
    this.#value = next
    this.#ignoreReportsUntilMs = nowMs + lagMs
  }
}
