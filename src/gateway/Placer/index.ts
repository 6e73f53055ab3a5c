import type { PromptPart } from '../../contract/PromptPart'
import type { TargetEntry } from '../../contract/TargetEntry'
import { choosePlacement } from '../../routing/choosePlacement'
import { HolderTable } from '../../routing/HolderTable'
import { RendezvousOrder } from '../../routing/RendezvousOrder'
import type { TargetLoads } from '../../routing/TargetLoads'
import { TargetSpeeds } from '../../routing/TargetSpeeds'
import { CircuitBreaker } from '../../target/CircuitBreaker'

interface PlacerOptions {
  zone: string
  loads: TargetLoads
  listTargets: (service: string) => readonly TargetEntry[]
}

interface PlaceRequest {
  service: string
  isEngine: boolean
  parts: readonly PromptPart[]
  promptTokens: number
  excluded: ReadonlySet<string>
}

interface Place {
  target: TargetEntry
  readMs: number
  waitMs: number
}

/** A target in another zone is taken when the one in the own zone has this much more of its slots in use. */
const OTHER_ZONE_SHARE = 0.25

/**
 * @name Placer
 * @category Gateway
 * @summary Chooses the target of each request, with what this router has learned about the targets.
 *
 * @description
 * Engines are chosen by where parts of the prompt are kept and how soon it is read; targets of other services by the
 * share of their slots in use. Targets with an open circuit are left out, unless all are open.
 *
 * @example
 * placer.place({ service: 's', isEngine: true, parts, promptTokens: 900, excluded: new Set() }, nowMs)?.target.id
 */
export class Placer {
  readonly #options: PlacerOptions
  readonly #order = new RendezvousOrder()
  readonly holders = new HolderTable()
  readonly speeds = new TargetSpeeds()
  readonly circuits = new CircuitBreaker()

  constructor (options: PlacerOptions) {
    this.#options = options
  }

  place (request: PlaceRequest, nowMs: number): Place | undefined {
    const listed = this.#options.listTargets(request.service).filter(({ id }) => !request.excluded.has(id))
    const open = listed.filter(({ id }) => this.circuits.isClosed(id, nowMs))
    const targets = open.length > 0 ? open : listed
    if (targets.length === 0) return undefined
    return request.isEngine && request.parts.length > 0 ? this.#placePrompt(request, targets, nowMs) : this.#placeCall(targets, nowMs)
  }

  #placePrompt (request: PlaceRequest, targets: readonly TargetEntry[], nowMs: number): Place {
    const { parts, promptTokens } = request
    // The last part belongs to the request itself or to its session; the one before it is shared by most requests.
    const key = parts[Math.max(0, parts.length - 2)].id
    const ranks = this.#order.computeRanks(key, targets.map(({ id }) => id))
    const candidates = targets.map(({ id, slots }) => {
      const rank = ranks.get(id)!
      const { pendingMs, running } = this.#options.loads.get(id, nowMs)
      const isShared = (part: string): boolean => rank === 0 && part !== parts.at(-1)!.id
      return { id, rank, pendingMs, running, slots, slowdown: this.speeds.getSlowdown(id, nowMs), isKept: (part: string) => isShared(part) || this.holders.has(id, part, nowMs) }
    })
    const { id, readMs, waitMs } = choosePlacement(candidates, { parts, promptTokens })
    return { target: targets.find(target => target.id === id)!, readMs, waitMs }
  }

  #placeCall (targets: readonly TargetEntry[], nowMs: number): Place {
    const shares = targets.map(({ id, slots, zone }) => (this.#options.loads.get(id, nowMs).running + 1) / slots + (zone === this.#options.zone ? 0 : OTHER_ZONE_SHARE))
    const least = Math.min(...shares)
    const best = targets.filter((_target, index) => shares[index] === least)
    return { target: best[Math.floor(Math.random() * best.length)], readMs: 0, waitMs: 0 }
  }
}
