import type { ServiceMeter } from '../ServiceMeter'
import type { SimClock } from '../SimClock'
import type { SimRequest } from '../SimRequest'

interface ActiveRun {
  target: string
  request: SimRequest
  startedAtMs: number
  onEnd: (result: { cost: number, isHealthy: boolean }) => void
}

interface SimTargetsOptions {
  clock: SimClock
  meter: ServiceMeter
  tokenMs: number
}

/** Simulated targets that generate one token per running request in a fixed interval. */
export class SimTargets {
  readonly #options: SimTargetsOptions
  readonly #activeRuns = new Set<ActiveRun>()
  readonly #failedTargets = new Set<string>()
  #maxSlotsInUse = 0
  readonly #slotsInUseByTarget = new Map<string, number>()

  constructor (options: SimTargetsOptions) {
    this.#options = options
  }

  /** Highest number of requests that ran on one target at once. */
  get maxSlotsInUse (): number {
    return this.#maxSlotsInUse
  }

  run (target: string, request: SimRequest, onEnd: ActiveRun['onEnd']): void {
    const { clock, meter, tokenMs } = this.#options
    if (this.#failedTargets.has(target)) {
      clock.schedule(1, () => onEnd({ cost: 0, isHealthy: false }))
      return
    }
    const run: ActiveRun = { target, request, startedAtMs: clock.nowMs, onEnd }
    this.#activeRuns.add(run)
    this.#slotsInUseByTarget.set(target, (this.#slotsInUseByTarget.get(target) ?? 0) + 1)
    this.#maxSlotsInUse = Math.max(this.#maxSlotsInUse, this.#slotsInUseByTarget.get(target)!)
    meter.updateRunning(clock.nowMs, request.account, 1)
    meter.addGrantedCost(clock.nowMs, request.account, request.cost)
    meter.updateSlotUsage(clock.nowMs, -1, 0)
    clock.schedule(request.cost * tokenMs, () => this.#complete(run, { cost: request.cost, isHealthy: true }))
  }

  /** Computes the tokens generated so far for a running request. */
  computeCost (request: SimRequest, startedAtMs: number): number {
    return Math.min(request.cost, Math.floor((this.#options.clock.nowMs - startedAtMs) / this.#options.tokenMs))
  }

  /** Simulates the failure of a target: interrupts its streams and removes its `slots` from the capacity. */
  remove (target: string, slots: number): void {
    this.#failedTargets.add(target)
    this.#options.meter.updateSlotUsage(this.#options.clock.nowMs, -slots, 0)
    for (const run of [...this.#activeRuns]) {
      if (run.target === target) this.#complete(run, { cost: this.computeCost(run.request, run.startedAtMs), isHealthy: false })
    }
  }

  #complete (run: ActiveRun, result: { cost: number, isHealthy: boolean }): void {
    if (!this.#activeRuns.delete(run)) return
    const { clock, meter } = this.#options
    this.#slotsInUseByTarget.set(run.target, this.#slotsInUseByTarget.get(run.target)! - 1)
    meter.updateRunning(clock.nowMs, run.request.account, -1)
    if (result.cost < run.request.cost) meter.addGrantedCost(clock.nowMs, run.request.account, result.cost - run.request.cost)
    meter.updateSlotUsage(clock.nowMs, 1, 0)
    run.onEnd(result)
  }
}
