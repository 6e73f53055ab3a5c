import { GapMeter } from '../GapMeter'

interface AccountState {
  granted: number
  generated: number
  running: number
  updatedAtMs: number
}

interface ServiceMeterOptions {
  accounts: readonly string[]
  tokenMs: number
  slots: number
}

/** Measures the service that accounts actually receive, independently of the accounting of the scheduler. */
export class ServiceMeter {
  /** Queueing times in milliseconds by account. */
  readonly waits = new Map<string, number[]>()
  /**
   * Service gaps between pairs of accounts, with service measured as the actual cost of requests. The cost is counted
   * when a request starts, which is what a scheduler without preemption controls.
   */
  readonly granted: GapMeter
  /**
   * Service gaps between pairs of accounts, with service measured as tokens, counted as they are generated. Includes
   * requests that started before both accounts of the pair were backlogged.
   */
  readonly generated: GapMeter
  readonly #options: ServiceMeterOptions
  readonly #accounts = new Map<string, AccountState>()
  #nowMs = 0
  #freeSlots = 0
  #waitingRequests = 0
  #slotUsageUpdatedAtMs = 0
  #idleSlotMs = 0
  #queuedMs = 0

  constructor (options: ServiceMeterOptions) {
    this.#options = options
    this.#freeSlots = options.slots
    this.granted = new GapMeter(account => this.#accounts.get(account)!.granted)
    this.generated = new GapMeter(account => this.#computeGenerated(account))
    for (const account of options.accounts) {
      this.#accounts.set(account, { granted: 0, generated: 0, running: 0, updatedAtMs: 0 })
      this.waits.set(account, [])
    }
  }

  /** Share of slot time that was idle while requests were queued. */
  get idleShare (): number {
    return this.#queuedMs === 0 ? 0 : this.#idleSlotMs / (this.#queuedMs * this.#options.slots)
  }

  getGranted (account: string): number {
    return this.#accounts.get(account)!.granted
  }

  /** Discards the gaps, queueing times and idle time measured so far, for example at the end of a settling time. */
  reset (nowMs: number): void {
    this.#nowMs = nowMs
    this.updateSlotUsage(nowMs, 0, 0)
    this.#idleSlotMs = this.#queuedMs = 0
    for (const waits of this.waits.values()) waits.length = 0
    this.granted.reset(nowMs)
    this.generated.reset(nowMs)
  }

  setBacklogged (nowMs: number, account: string, isBacklogged: boolean): void {
    this.#nowMs = nowMs
    this.granted.setBacklogged(nowMs, account, isBacklogged)
    this.generated.setBacklogged(nowMs, account, isBacklogged)
  }

  /**
   * Adds the cost of a request that starts, or subtracts the part not served (a negative cost) if it was interrupted.
   */
  addGrantedCost (nowMs: number, account: string, cost: number): void {
    this.#accounts.get(account)!.granted += cost
    this.granted.update(nowMs, account)
  }

  /** Changes the number of running requests of an account. */
  updateRunning (nowMs: number, account: string, change: 1 | -1): void {
    this.#nowMs = nowMs
    this.generated.update(nowMs, account)
    const state = this.#accounts.get(account)!
    state.generated = this.#computeGenerated(account)
    state.updatedAtMs = nowMs
    state.running += change
  }

  /** Adds the idle time since the last update, then changes the numbers of free slots and of waiting requests. */
  updateSlotUsage (nowMs: number, freeChange: number, waitingChange: number): void {
    const elapsedMs = nowMs - this.#slotUsageUpdatedAtMs
    this.#slotUsageUpdatedAtMs = nowMs
    if (this.#waitingRequests > 0) {
      this.#queuedMs += elapsedMs
      this.#idleSlotMs += elapsedMs * Math.max(0, Math.min(this.#freeSlots, this.#waitingRequests))
    }
    this.#freeSlots += freeChange
    this.#waitingRequests += waitingChange
  }

  #computeGenerated (account: string): number {
    const { generated, running, updatedAtMs } = this.#accounts.get(account)!
    return generated + running * (this.#nowMs - updatedAtMs) / this.#options.tokenMs
  }
}
