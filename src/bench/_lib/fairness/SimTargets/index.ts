import type { ServiceMeter } from '../ServiceMeter'
import type { SimClock } from '../SimClock'
import type { SimRequest } from '../SimRequest'

interface Run {
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

/** Targets that generate one token for each running request in a fixed time. */
export class SimTargets {
  readonly #options: SimTargetsOptions
  readonly #runs = new Set<Run>()
  readonly #lost = new Set<string>()
  #maxInUse = 0
  readonly #inUse = new Map<string, number>()

  constructor (options: SimTargetsOptions) {
    this.#options = options
  }

  /** Most requests that ran on one target at once. */
  get maxInUse (): number {
    return this.#maxInUse
  }

  run (target: string, request: SimRequest, onEnd: Run['onEnd']): void {
    const { clock, meter, tokenMs } = this.#options
    if (this.#lost.has(target)) {
      clock.schedule(1, () => onEnd({ cost: 0, isHealthy: false }))
      return
    }
    const run: Run = { target, request, startedAtMs: clock.nowMs, onEnd }
    this.#runs.add(run)
    this.#inUse.set(target, (this.#inUse.get(target) ?? 0) + 1)
    this.#maxInUse = Math.max(this.#maxInUse, this.#inUse.get(target)!)
    meter.addRunning(clock.nowMs, request.account, 1)
    meter.addGranted(clock.nowMs, request.account, request.cost)
    meter.updateUse(clock.nowMs, -1, 0)
    clock.schedule(request.cost * tokenMs, () => this.#complete(run, { cost: request.cost, isHealthy: true }))
  }

  /** Cost of a running request so far. */
  computeCost (request: SimRequest, startedAtMs: number): number {
    return Math.min(request.cost, Math.floor((this.#options.clock.nowMs - startedAtMs) / this.#options.tokenMs))
  }

  /** The target dies with its streams under way; `slots` are no longer there. */
  remove (target: string, slots: number): void {
    this.#lost.add(target)
    this.#options.meter.updateUse(this.#options.clock.nowMs, -slots, 0)
    for (const run of [...this.#runs]) {
      if (run.target === target) this.#complete(run, { cost: this.computeCost(run.request, run.startedAtMs), isHealthy: false })
    }
  }

  #complete (run: Run, result: { cost: number, isHealthy: boolean }): void {
    if (!this.#runs.delete(run)) return
    const { clock, meter } = this.#options
    this.#inUse.set(run.target, this.#inUse.get(run.target)! - 1)
    meter.addRunning(clock.nowMs, run.request.account, -1)
    if (result.cost < run.request.cost) meter.addGranted(clock.nowMs, run.request.account, result.cost - run.request.cost)
    meter.updateUse(clock.nowMs, 1, 0)
    run.onEnd(result)
  }
}
