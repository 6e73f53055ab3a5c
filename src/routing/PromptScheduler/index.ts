import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { PlacementRequest } from '../../contract/PlacementRequest'
import type { PlacementVerdict } from '../../contract/PlacementVerdict'
import type { RunningPlacement } from '../../contract/RunningPlacement'
import type { TargetEntry } from '../../contract/TargetEntry'
import { CircuitBreaker } from '../../target/CircuitBreaker'
import { AccountUsage } from '../AccountUsage'
import { computeCallCost } from '../computeCallCost'
import { EngineHolds } from '../EngineHolds'
import { EngineState } from '../EngineState'
import { RendezvousOrder } from '../RendezvousOrder'
import { TargetSpeeds } from '../TargetSpeeds'

interface Waiting {
  request: PlacementRequest
  sinceMs: number
}

interface Running extends RunningPlacement {
  startedMs: number
  estimatedMs: number
}

interface Option {
  target: TargetEntry
  engine: EngineState
  /** Time to read the prompt at an engine of the usual speed, and at this one. */
  usualReadMs: number
  readMs: number
  /** Time until the engine has read what was placed there before. */
  waitMs: number
  rank: number
}

interface PromptSchedulerOptions {
  /** Memory in tokens of the engines of a service; undefined if the service has no engines. */
  getMemoryTokens: (service: string) => number | undefined
  /** What is under way here is this part of what is under way at the engines: 1 if all requests are placed here. */
  getLoadShare: () => number
  random: () => number
  /** When the scheduler began; monotonic milliseconds. */
  startedMs: number
}

type Event = PlacementProgress[number][1]

/** How long a request waits for room. One that no engine can begin to answer in time is refused then. */
const PATIENCE_MS = 200
/** A prompt that takes this part of the objective to read can hardly begin in time behind others. */
const LARGE_SHARE = 0.6
/** So a few large prompts at a time, one for this many engines, may begin behind others. */
const ENGINES_PER_LARGE = 8
const LARGE_WAIT_MS = 100
/** Part of the time until the first event that no engine saves: transport, batching and the first token itself. */
const FIRST_EVENT_MS = 120
/** Prompts are read where they belong, or at one other target that all schedulers agree on, or where they are kept. */
const AGREED_TARGETS = 2
/** Prefers the target where a prompt belongs among equal ones. */
const RANK_MS = 4
/** A new scheduler does not know what engines keep. For this time it takes the shared parts as kept where they belong, as its predecessor left them. */
const LEARNING_MS = 8_000
/** Room for a longer prompt empties an engine that others could use. */
const HOLD_READ_MS = 200
const MAX_CACHED_ORDERS = 4_096
const RETRY_AFTER_S = 1.6
const RETRY_AFTER_SPREAD_S = 0.8

/**
 * @name PromptScheduler
 * @category Routing
 * @summary Decides which engine runs each prompt, in which order, and what is refused.
 *
 * @description
 * Answers the load patterns of many users at once, of one account that sends many times its usual and of one prompt
 * that becomes hot. A prompt is placed only where its first event is predicted in time, given what each engine still
 * has to read; so engines never build up a backlog in which everything is late. Waiting requests go in the order of
 * the least recent use of their client accounts, and the next room of an engine is kept for them. Prompts stay where their shared parts are kept. Pure: times are
 * milliseconds of a monotonic clock.
 *
 * @param options - Memory of engines, share of the load that is placed here, random numbers, time of the start.
 *
 * @example
 * const scheduler = new PromptScheduler({ getMemoryTokens: () => 444_000, getShare: () => 1, random: Math.random, startedMs: performance.now() })
 * scheduler.setTargets(entries)
 * scheduler.request(request, nowMs) // { type: 'place', target: 'i-1', waitMs: 0, readMs: 80 }, or undefined while it waits
 */
export class PromptScheduler {
  readonly #options: PromptSchedulerOptions
  readonly #order = new RendezvousOrder()
  readonly #usage = new AccountUsage()
  readonly #speeds = new TargetSpeeds()
  readonly #circuits = new CircuitBreaker()
  readonly #engines = new Map<string, EngineState>()
  readonly #holds = new EngineHolds()
  /** Large prompts that engines read at present. */
  readonly #largeReading = new Set<string>()
  readonly #waiting = new Map<string, Waiting>()
  readonly #running = new Map<string, Running>()
  /** Targets of a service in the order of a key; emptied when the targets change. */
  readonly #orders = new Map<string, readonly TargetEntry[]>()
  #targets: readonly TargetEntry[] = []

  constructor (options: PromptSchedulerOptions) {
    this.#options = options
  }

  get waitingCount (): number {
    return this.#waiting.size
  }

  get runningCount (): number {
    return this.#running.size
  }

  setTargets (entries: readonly TargetEntry[]): void {
    this.#targets = entries
    this.#orders.clear()
    const ids = new Set(entries.map(({ id }) => id))
    for (const id of this.#engines.keys()) {
      if (ids.has(id)) continue
      this.#engines.delete(id)
      this.#speeds.removeTarget(id)
    }
  }

  /** Places or refuses a request, or lets it wait; then the verdict comes from `step`. */
  request (request: PlacementRequest, nowMs: number): PlacementVerdict | undefined {
    const verdict = this.#chooseVerdict({ request, sinceMs: nowMs }, nowMs)
    if (!verdict) this.#waiting.set(request.id, { request, sinceMs: nowMs })
    return verdict
  }

  /** Verdicts on waiting requests, in fair order. */
  * step (nowMs: number): Generator<[id: string, PlacementVerdict]> {
    const ordered = [...this.#waiting.values()].map(waiting => ({ waiting, use: this.#usage.get(waiting.request.account, nowMs) }))
    ordered.sort((a, b) => a.use - b.use || a.waiting.sinceMs - b.waiting.sinceMs)
    this.#holds.clear()
    for (const { waiting } of ordered) {
      const verdict = this.#chooseVerdict(waiting, nowMs)
      if (!verdict) continue
      this.#waiting.delete(waiting.request.id)
      yield [waiting.request.id, verdict]
    }
  }

  /** Takes over a call that was placed elsewhere. */
  accept ({ request, target, readMs, isRead }: RunningPlacement, nowMs: number): void {
    if (this.#running.has(request.id)) return
    this.#start(request, { target, readMs, estimatedMs: readMs }, nowMs)
    if (isRead) this.record(request.id, 'read', nowMs)
  }

  /** Notes what became of a call. */
  record (id: string, event: Event, nowMs: number): void {
    if (this.#waiting.delete(id) && this.#waiting.size === 0) this.#holds.clear()
    this.#largeReading.delete(id)
    const call = this.#running.get(id)
    if (!call) return
    if (event === 'read') return this.#recordRead(call, nowMs)
    this.#running.delete(id)
    this.#engines.get(call.target)?.stop({ id, parts: call.request.parts, readMs: call.readMs })
    const circuit = formatCircuit(call.target, call.request.zone)
    if (event === 'unreachable') this.#circuits.open(circuit, nowMs)
    else if (event === 'lost') this.#circuits.recordFailure(circuit, nowMs)
    else this.#circuits.releaseProbe(circuit)
  }

  listRunning (): RunningPlacement[] {
    return [...this.#running.values()].map(({ request, target, readMs, isRead }) => ({ request, target, readMs, isRead }))
  }

  #recordRead (call: Running, nowMs: number): void {
    if (call.isRead) return
    call.isRead = true
    this.#engines.get(call.target)?.read({ id: call.request.id, readMs: call.readMs }, nowMs)
    this.#speeds.record(call.target, { estimatedMs: call.estimatedMs, measuredMs: nowMs - call.startedMs }, nowMs)
    this.#circuits.recordSuccess(formatCircuit(call.target, call.request.zone))
  }

  #chooseVerdict ({ request, sinceMs }: Waiting, nowMs: number): PlacementVerdict | undefined {
    const options = this.#listOptions(request, nowMs)
    if (options.length === 0) return { type: 'none' }
    const isLarge = Math.min(...options.map(({ usualReadMs }) => usualReadMs)) > LARGE_SHARE * request.objectiveMs
    const limits = { inTimeMs: request.objectiveMs - (nowMs - sinceMs) - FIRST_EVENT_MS, waitMs: isLarge && this.#isLargeAllowed() ? LARGE_WAIT_MS : 0 }
    const use = this.#usage.get(request.account, nowMs)
    const free = options.filter(({ target, engine }) => engine.running < target.slots * this.#options.getLoadShare() && this.#holds.isOpen(target.id, use))
    const best = chooseBest(free.filter(option => hasRoom(option, limits)))
    if (best && isLarge) this.#largeReading.add(request.id)
    if (best) return this.#place(request, best, nowMs)
    if (nowMs - sinceMs < PATIENCE_MS) {
      const soonest = free.length > 0 ? findSoonest(free) : undefined
      if (soonest && soonest.readMs <= HOLD_READ_MS) this.#holds.add(soonest.target.id, use)
      return undefined
    }
    const { waitMs, readMs } = findSoonest(options)
    return { type: 'refuse', retryAfterS: RETRY_AFTER_S + RETRY_AFTER_SPREAD_S * this.#options.random(), waitMs, readMs }
  }

  #isLargeAllowed (): boolean {
    return this.#largeReading.size < Math.max(1, Math.floor(this.#engines.size / ENGINES_PER_LARGE))
  }

  #place (request: PlacementRequest, { target, readMs, waitMs }: Option, nowMs: number): PlacementVerdict {
    this.#circuits.tryAcquire(formatCircuit(target.id, request.zone), nowMs)
    this.#start(request, { target: target.id, readMs, estimatedMs: waitMs + readMs }, nowMs)
    return { type: 'place', target: target.id, waitMs, readMs }
  }

  #start (request: PlacementRequest, { target, readMs, estimatedMs }: { target: string, readMs: number, estimatedMs: number }, nowMs: number): void {
    this.#running.set(request.id, { request, target, readMs, isRead: false, startedMs: nowMs, estimatedMs })
    this.#usage.charge(request.account, computeCallCost({ ...request, readMs }), nowMs)
    const entry = this.#targets.find(({ id }) => id === target)
    if (entry) this.#getEngine(entry).start({ id: request.id, parts: request.parts, readMs }, nowMs)
  }

  #listOptions ({ service, zone, parts, promptTokens, excluded }: PlacementRequest, nowMs: number): Option[] {
    // The last part belongs to the request itself or to its session; the one before it is shared by most requests.
    const key = parts.length === 0 ? '' : parts[Math.max(0, parts.length - 2)].id
    const usable = this.#listInOrder(service, key).filter(({ id }) => !excluded.includes(id))
    const closed = usable.filter(({ id }) => this.#circuits.isClosed(formatCircuit(id, zone), nowMs) && !this.#engines.get(id)?.isSilent(nowMs))
    const targets = closed.length > 0 ? closed : usable
    const share = this.#options.getLoadShare()
    const isLearning = nowMs - this.#options.startedMs < LEARNING_MS
    return targets.flatMap((target, rank) => {
      const engine = this.#getEngine(target)
      if (rank >= AGREED_TARGETS && !engine.has(key)) return []
      const slowdown = this.#speeds.getSlowdown(target.id, nowMs)
      const { readMs } = engine.computeRead(parts, promptTokens, isLearning && rank === 0 ? parts.length - 1 : 0)
      return [{ target, engine, usualReadMs: readMs, readMs: readMs * slowdown, waitMs: engine.pendingMs / share * slowdown, rank }]
    })
  }

  #listInOrder (service: string, key: string): readonly TargetEntry[] {
    const cacheKey = `${service} ${key}`
    let ordered = this.#orders.get(cacheKey)
    if (!ordered) {
      const usable = this.#targets.filter(entry => entry.service === service && !entry.isDraining)
      const ranks = this.#order.computeRanks(key, usable.map(({ id }) => id))
      ordered = usable.sort((a, b) => ranks.get(a.id)! - ranks.get(b.id)!)
      if (this.#orders.size >= MAX_CACHED_ORDERS) this.#orders.clear()
      this.#orders.set(cacheKey, ordered)
    }
    return ordered
  }

  #getEngine (target: TargetEntry): EngineState {
    let engine = this.#engines.get(target.id)
    if (!engine) {
      engine = new EngineState(this.#options.getMemoryTokens(target.service) ?? Infinity)
      this.#engines.set(target.id, engine)
    }
    return engine
  }
}

/** Whether the first event is predicted in time, or the engine has so little to read that a prompt of any size may begin. */
function hasRoom ({ waitMs, readMs }: Option, limits: { inTimeMs: number, waitMs: number }): boolean {
  return waitMs + readMs <= limits.inTimeMs || waitMs <= limits.waitMs
}

function findSoonest (options: readonly Option[]): Option {
  return options.reduce((least, next) => next.waitMs + next.readMs < least.waitMs + least.readMs ? next : least)
}

/** The least time until the prompt is read; time to read again what another target keeps counts twice. */
function chooseBest (options: readonly Option[]): Option | undefined {
  const leastReadMs = Math.min(...options.map(({ readMs }) => readMs))
  let best: Option | undefined
  let bestMs = Infinity
  for (const option of options) {
    const costMs = option.waitMs + option.readMs + (option.readMs - leastReadMs) + Math.min(option.rank, AGREED_TARGETS) * RANK_MS
    if (costMs >= bestMs) continue
    best = option
    bestMs = costMs
  }
  return best
}

/** A target may be unreachable from one zone only. */
function formatCircuit (target: string, zone: string): string {
  return `${target} ${zone}`
}
