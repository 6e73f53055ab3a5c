import type { TargetEntry } from '../../contract/TargetEntry'
import type { TargetLoads } from '../../routing/TargetLoads'
import { CircuitBreaker } from '../../target/CircuitBreaker'

interface LeastLoadedSelectorOptions {
  zone: string
  loads: TargetLoads
  listTargets: (service: string) => readonly TargetEntry[]
  random: () => number
}

/** Added to the load of targets in other zones: a target in the own zone is preferred up to this difference. */
const OTHER_ZONE_PENALTY = 0.25

/**
 * @name LeastLoadedSelector
 * @category Gateway
 * @summary Selects the least loaded target for a call to a service without engines.
 *
 * @description
 * The load of a target is the share of its slots that would be in use with the new call; ties are broken at random.
 * Targets with an open circuit are skipped unless every circuit is open.
 *
 * @example
 * selector.select({ service: 's', excluded: new Set() }, nowMs)?.id
 */
export class LeastLoadedSelector {
  readonly #options: LeastLoadedSelectorOptions
  readonly circuits = new CircuitBreaker()

  constructor (options: LeastLoadedSelectorOptions) {
    this.#options = options
  }

  select ({ service, excluded }: { service: string, excluded: ReadonlySet<string> }, nowMs: number): TargetEntry | undefined {
    const eligible = this.#options.listTargets(service).filter(({ id }) => !excluded.has(id))
    const closed = eligible.filter(({ id }) => this.circuits.isNotOpen(id, nowMs))
    const targets = closed.length > 0 ? closed : eligible
    if (targets.length === 0) return undefined
    const targetLoads = targets.map(target => this.#computeLoad(target, nowMs))
    const least = Math.min(...targetLoads)
    const best = targets.filter((_target, index) => targetLoads[index] === least)
    const chosen = best[Math.floor(this.#options.random() * best.length)]
    this.circuits.tryAcquire(chosen.id, nowMs)
    return chosen
  }

  #computeLoad ({ id, slots, zone }: TargetEntry, nowMs: number): number {
    const { running } = this.#options.loads.get(id, nowMs)
    return (running + 1) / slots + (zone === this.#options.zone ? 0 : OTHER_ZONE_PENALTY)
  }
}
