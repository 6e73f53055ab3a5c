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

/**
 * Measures the service that accounts receive, apart from what the scheduler believes. `granted` counts the actual cost
 * of a request when it starts, which is what a scheduler without preemption decides. `generated` counts tokens as they
 * are generated; it also holds the requests that ran before both accounts were backlogged.
 */
export class ServiceMeter {
  readonly waits = new Map<string, number[]>()
  readonly granted: GapMeter
  readonly generated: GapMeter
  readonly #options: ServiceMeterOptions
  readonly #accounts = new Map<string, AccountState>()
  #nowMs = 0
  #free = 0
  #waiting = 0
  #idleAtMs = 0
  #idleMs = 0
  #queuedMs = 0

  constructor (options: ServiceMeterOptions) {
    this.#options = options
    this.#free = options.slots
    this.granted = new GapMeter(account => this.#accounts.get(account)!.granted)
    this.generated = new GapMeter(account => this.#computeGenerated(account))
    for (const account of options.accounts) {
      this.#accounts.set(account, { granted: 0, generated: 0, running: 0, updatedAtMs: 0 })
      this.waits.set(account, [])
    }
  }

  /** Share of slot time that was idle while requests were queued. */
  get idleShare (): number {
    return this.#queuedMs === 0 ? 0 : this.#idleMs / (this.#queuedMs * this.#options.slots)
  }

  getGranted (account: string): number {
    return this.#accounts.get(account)!.granted
  }

  /** Forgets gaps, waits and idle time so far, for example at the end of a settling time. */
  reset (nowMs: number): void {
    this.#nowMs = nowMs
    this.updateUse(nowMs, 0, 0)
    this.#idleMs = this.#queuedMs = 0
    for (const waits of this.waits.values()) waits.length = 0
    this.granted.reset(nowMs)
    this.generated.reset(nowMs)
  }

  setBacklogged (nowMs: number, account: string, isBacklogged: boolean): void {
    this.#nowMs = nowMs
    this.granted.setBacklogged(nowMs, account, isBacklogged)
    this.generated.setBacklogged(nowMs, account, isBacklogged)
  }

  /** A request starts (`cost` of the whole request) or was cut (a negative cost). */
  addGranted (nowMs: number, account: string, cost: number): void {
    this.#accounts.get(account)!.granted += cost
    this.granted.update(nowMs, account)
  }

  addRunning (nowMs: number, account: string, change: 1 | -1): void {
    this.#nowMs = nowMs
    this.generated.update(nowMs, account)
    const state = this.#accounts.get(account)!
    state.generated = this.#computeGenerated(account)
    state.updatedAtMs = nowMs
    state.running += change
  }

  /** Accounts for idle time until now, then changes the number of free slots and of waiting requests. */
  updateUse (nowMs: number, freeChange: number, waitingChange: number): void {
    const elapsedMs = nowMs - this.#idleAtMs
    this.#idleAtMs = nowMs
    if (this.#waiting > 0) {
      this.#queuedMs += elapsedMs
      this.#idleMs += elapsedMs * Math.max(0, Math.min(this.#free, this.#waiting))
    }
    this.#free += freeChange
    this.#waiting += waitingChange
  }

  #computeGenerated (account: string): number {
    const { generated, running, updatedAtMs } = this.#accounts.get(account)!
    return generated + running * (this.#nowMs - updatedAtMs) / this.#options.tokenMs
  }
}
