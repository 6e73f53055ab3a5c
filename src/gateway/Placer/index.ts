import type { TargetEntry } from '../../contract/TargetEntry'
import type { TargetLoads } from '../../routing/TargetLoads'
import { CircuitBreaker } from '../../target/CircuitBreaker'

interface PlacerOptions {
  zone: string
  loads: TargetLoads
  listTargets: (service: string) => readonly TargetEntry[]
  random: () => number
}

/** A target in another zone is taken when the one in the own zone has this much more of its slots in use. */
const OTHER_ZONE_SHARE = 0.25

/**
 * @name Placer
 * @category Gateway
 * @summary Chooses the target of calls to services without engines: the one with the least share of its slots in use.
 *
 * @description
 * Targets with an open circuit are left out, unless all are open.
 *
 * @example
 * placer.place({ service: 's', excluded: new Set() }, nowMs)?.id
 */
export class Placer {
  readonly #options: PlacerOptions
  readonly circuits = new CircuitBreaker()

  constructor (options: PlacerOptions) {
    this.#options = options
  }

  place ({ service, excluded }: { service: string, excluded: ReadonlySet<string> }, nowMs: number): TargetEntry | undefined {
    const listed = this.#options.listTargets(service).filter(({ id }) => !excluded.has(id))
    const closed = listed.filter(({ id }) => this.circuits.isClosed(id, nowMs))
    const targets = closed.length > 0 ? closed : listed
    if (targets.length === 0) return undefined
    const shares = targets.map(target => this.#computeShare(target, nowMs))
    const least = Math.min(...shares)
    const best = targets.filter((_target, index) => shares[index] === least)
    const chosen = best[Math.floor(this.#options.random() * best.length)]
    this.circuits.tryAcquire(chosen.id, nowMs)
    return chosen
  }

  #computeShare ({ id, slots, zone }: TargetEntry, nowMs: number): number {
    const { running } = this.#options.loads.get(id, nowMs)
    return (running + 1) / slots + (zone === this.#options.zone ? 0 : OTHER_ZONE_SHARE)
  }
}
