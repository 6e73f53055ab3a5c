import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { AccountLoad } from '../AccountLoad'
import { BaselineFleet } from '../BaselineFleet'
import { ServiceMeter } from '../ServiceMeter'
import { SimClock } from '../SimClock'
import { SimNetwork } from '../SimNetwork'
import type { SimRequest } from '../SimRequest'
import { SimRouter } from '../SimRouter'
import { SimTargets } from '../SimTargets'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const ROUTERS_PER_ZONE = 3
const SLOTS = 8
const TOKEN_MS = 30
const RETRY_DELAY_MS = 500

interface FairnessRunOptions {
  seed: number
  runners: number
  loads: readonly AccountLoad[]
  /**
   * `fleet` is the scheduler of the product. `zone` is the same without exchange between zones. The others are
   * baselines.
   */
  kind: 'fleet' | 'zone' | ConstructorParameters<typeof BaselineFleet>[0]['kind']
}

/** One run of the fairness experiment: load, fleet and service meter on a simulated clock. */
export class FairnessRun {
  readonly clock = new SimClock()
  readonly network = new SimNetwork(this.clock)
  readonly meter: ServiceMeter
  readonly targets: SimTargets
  readonly routers: SimRouter[] = []
  readonly #options: FairnessRunOptions
  readonly #loads = new Map<string, AccountLoad>()
  readonly #closedTargets = new Set<string>()
  readonly #waitingByAccount = new Map<string, number>()
  readonly #random: () => number
  #enqueue: (router: number, request: SimRequest) => void
  #startedCount = 0

  constructor (options: FairnessRunOptions) {
    this.#options = options
    const generator = xoroshiro128plus(options.seed)
    this.#random = () => uniformFloat64(generator)
    const accounts = options.loads.map(load => load.name)
    this.meter = new ServiceMeter({ accounts, tokenMs: TOKEN_MS, slots: options.runners * SLOTS })
    this.targets = new SimTargets({ clock: this.clock, meter: this.meter, tokenMs: TOKEN_MS })
    this.#enqueue = this.#createFleet()
    for (const load of options.loads) this.#startLoad(load)
  }

  get startedCount (): number {
    return this.#startedCount
  }

  /** Upper bound of the cost of one request, in tokens. */
  get largestCost (): number {
    return Math.max(...this.#options.loads.map(load => load.maxCost))
  }

  /** Computes the tokens that all slots of the fleet can generate in the given time. */
  computeTokenCapacity (durationMs: number): number {
    return this.#options.runners * SLOTS * durationMs / TOKEN_MS
  }

  run (untilMs: number): void {
    this.clock.run(untilMs)
  }

  /**
   * Simulates the failure of a target, which ends its streams. In a real fleet its circuit breaker would open; here no
   * circuit breaker is simulated, and requests that are still sent to the target fail.
   */
  removeTarget (name: string): void {
    this.targets.remove(name, SLOTS)
  }

  /** Simulates a crash of the router. Its queued requests are lost. */
  stopRouter (router: SimRouter): void {
    for (const request of router.stop()) this.#removeWaiting(request)
  }

  #createFleet (): (router: number, request: SimRequest) => void {
    const { kind } = this.#options
    const targets = this.#listTargets()
    const onStart = (request: SimRequest): void => this.#handleStart(request)
    if (kind !== 'fleet' && kind !== 'zone') {
      const fleet = new BaselineFleet({ kind, routers: ZONES.length * ROUTERS_PER_ZONE, targets, simTargets: this.targets, onStart })
      return (router, request) => fleet.enqueue(router, request)
    }
    for (let index = 0; index < ZONES.length * ROUTERS_PER_ZONE; index++) {
      const zone = ZONES[Math.floor(index / ROUTERS_PER_ZONE)]
      this.routers.push(new SimRouter({
        instance: `r${index}`,
        zone,
        index,
        clock: this.clock,
        network: this.network,
        targets: this.targets,
        zoneTargets: targets.filter(target => target.zone === zone),
        isTargetOpen: name => !this.#closedTargets.has(name),
        hasZoneExchange: kind === 'fleet',
        onStart,
        onRetry: (router, request) => this.clock.schedule(RETRY_DELAY_MS, () => this.#enqueueAgain(router, request)),
        listRouters: () => this.routers
      }))
    }
    return (router, request) => this.#enqueueAt(this.routers[router], request)
  }

  #listTargets (): Array<{ name: string, service: string, zone: string, slots: number }> {
    return Array.from({ length: this.#options.runners }, (_, index) =>
      ({ name: `e${index}`, service: 'llama', zone: ZONES[index % ZONES.length], slots: SLOTS }))
  }

  #startLoad (load: AccountLoad): void {
    this.#loads.set(load.name, load)
    if (load.queued > 0) this.clock.schedule(load.fromMs, () => this.#enqueueMissing(load))
    if (load.idleUntilMs !== undefined) this.clock.schedule(load.idleUntilMs, () => this.#enqueueMissing(load))
    if (load.ratePerS > 0) this.clock.schedule(load.fromMs, () => this.#scheduleArrival(load))
  }

  #enqueueMissing (load: AccountLoad): void {
    while ((this.#waitingByAccount.get(load.name) ?? 0) < load.queued && this.#isActive(load)) this.#addArrival(load)
  }

  #isActive (load: AccountLoad): boolean {
    const { nowMs } = this.clock
    return nowMs < load.untilMs && !(nowMs >= (load.idleFromMs ?? Infinity) && nowMs < (load.idleUntilMs ?? 0))
  }

  #scheduleArrival (load: AccountLoad): void {
    const gapMs = -Math.log(1 - this.#random()) * 1_000 / load.ratePerS
    this.clock.schedule(gapMs, () => {
      if (this.clock.nowMs >= load.untilMs) return
      this.#addArrival(load)
      this.#scheduleArrival(load)
    })
  }

  #addArrival (load: AccountLoad): void {
    const cost = Math.floor(load.minCost + this.#random() * (load.maxCost - load.minCost))
    const request: SimRequest = { account: load.name, cost, hint: Math.max(1, Math.round(cost * load.hintFactor)), arrivedAtMs: this.clock.nowMs }
    const router = this.#chooseRouter(load)
    this.#addWaiting(request)
    this.#enqueue(router, request)
  }

  #enqueueAt (router: SimRouter, request: SimRequest): void {
    if (router.isAlive) router.enqueue(request)
    else this.#enqueueAt(this.routers[(this.routers.indexOf(router) + 1) % this.routers.length], request)
  }

  /** Requeues a request whose stream was interrupted. The tokens generated so far count as service. */
  #enqueueAgain (router: SimRouter, request: SimRequest): void {
    const again = { ...request, arrivedAtMs: this.clock.nowMs }
    this.#addWaiting(again)
    this.#enqueueAt(router, again)
  }

  #chooseRouter (load: AccountLoad): number {
    let rest = this.#random()
    for (let router = 0; router < load.routerShares.length; router++) {
      rest -= load.routerShares[router]
      if (rest < 0) return router
    }
    return load.routerShares.findIndex(share => share > 0)
  }

  #handleStart (request: SimRequest): void {
    this.#startedCount++
    this.meter.waits.get(request.account)!.push(this.clock.nowMs - request.arrivedAtMs)
    this.#removeWaiting(request)
    const load = this.#loads.get(request.account)!
    if (load.queued > 0) this.#enqueueMissing(load)
  }

  #addWaiting (request: SimRequest): void {
    this.#updateWaiting(request.account, 1)
  }

  #removeWaiting (request: SimRequest): void {
    this.#updateWaiting(request.account, -1)
  }

  #updateWaiting (account: string, change: number): void {
    const waiting = (this.#waitingByAccount.get(account) ?? 0) + change
    this.#waitingByAccount.set(account, waiting)
    this.meter.updateSlotUsage(this.clock.nowMs, 0, change)
    // A queue that is refilled immediately stays backlogged, although it is empty for a moment.
    const load = this.#loads.get(account)!
    const isRefilled = load.queued > 0 && this.#isActive(load)
    this.meter.setBacklogged(this.clock.nowMs, account, waiting > 0 || isRefilled)
  }
}
