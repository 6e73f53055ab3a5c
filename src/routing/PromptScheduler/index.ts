import type { PlacementProgress } from '../../contract/PlacementProgress'
import type { PlacementRequest } from '../../contract/PlacementRequest'
import type { PlacementVerdict } from '../../contract/PlacementVerdict'
import type { RunningPlacement } from '../../contract/RunningPlacement'
import type { TargetEntry } from '../../contract/TargetEntry'
import { CircuitBreaker } from '../../target/CircuitBreaker'
import { AccountShares } from '../AccountShares'
import { computeCallTokens } from '../computeCallTokens'
import type { CrashMonitor } from '../CrashMonitor'
import { EngineReservations } from '../EngineReservations'
import { EngineState } from '../EngineState'
import { TargetSlowdowns } from '../TargetSlowdowns'
import type { TrackedCall } from '../TrackedCall'
import type { Candidate } from './_lib/Candidate'
import { chooseBest } from './_lib/chooseBest'
import { computeAdmissionLimits } from './_lib/computeAdmissionLimits'
import { computeEstimates } from './_lib/computeEstimates'
import { findSoonest } from './_lib/findSoonest'
import { formatCircuit } from './_lib/formatCircuit'
import { hasOwnCapacity } from './_lib/hasOwnCapacity'
import { isAdmissible } from './_lib/isAdmissible'
import { TargetRanking } from './_lib/TargetRanking'

interface WaitingRequest {
  request: PlacementRequest
  sinceMs: number
}

interface RunningCall extends TrackedCall {
  /** Estimated time from the placement to the first event; undefined if this scheduler does not know the wait. */
  estimatedMs: number | undefined
}

interface PromptSchedulerOptions {
  /** Memory of each engine of a service in tokens; undefined if the service has no engines. */
  getMemoryTokens: (service: string) => number | undefined
  /** Share of the engines' load that this scheduler places: 1 if it places all requests. */
  getLoadShare: () => number
  /** Follows the calls, and refuses prompts under which targets crash. */
  crashMonitor: CrashMonitor
  random: () => number
  /** Start time of the scheduler, in milliseconds of a monotonic clock. */
  startedMs: number
}

type ProgressEvent = PlacementProgress[number][1]

/** Maximum time that a request waits for capacity. If no engine can start it in time by then, it is refused. */
const MAX_WAIT_MS = 200
/** A prompt is large if its prefill exceeds this share of its objective; behind other prefills it is probably late. */
const LARGE_PROMPT_SHARE = 0.6
/** While fewer large prompts than one per this many engines (at least one) are in prefill, one more may be placed late. */
const ENGINES_PER_LARGE_PROMPT = 8
/** Maximum estimated wait of such a large prompt. */
const LARGE_PROMPT_MAX_WAIT_MS = 100
/**
 * A prompt may be placed at the first targets in the rendezvous order of its key part, this many, and at every other
 * target that has cached the key part. All schedulers compute the same order.
 */
const AFFINITY_TARGETS = 2
/**
 * A new scheduler does not know what engines have cached. For this time after its start it assumes that the first target
 * in the rendezvous order has cached the shared parts, because its predecessor placed them there.
 */
const COLD_START_MS = 8_000
/** Prompts with a longer prefill get no reservation: the engine would run empty although other requests could use it. */
const MAX_RESERVATION_READ_MS = 200
/** Refused callers are told to retry after this time plus a random part of the spread. */
const RETRY_AFTER_S = 1.6
const RETRY_AFTER_SPREAD_S = 0.8

/**
 * @name PromptScheduler
 * @category Routing
 * @summary Decides which engine runs each prompt, in which order, and which prompts are refused (admission control).
 *
 * @description
 * Handles overload by many users at once, by one account that sends many times its usual load and by one prompt that
 * becomes hot. A prompt is placed only where its first event is predicted to be on time, given the outstanding prefill
 * work of each engine, so that engines never build up a backlog in which every request is late. Exceptions: an engine
 * without outstanding prefill takes a prompt of any size, and a limited number of large prompts wait for a short
 * outstanding prefill. While an account is short of its max-min fair share, the prompts of accounts that are near or
 * beyond theirs may use less of an engine's queue, and its own prompts are placed even if they are late. Waiting requests
 * of the account with the least recent service go first, and the next free capacity of an engine is reserved for them.
 * Prompts are placed at engines that have cached their shared parts (cache affinity). The class does no I/O and reads no
 * clock; times are milliseconds of a monotonic clock.
 *
 * @param options - Memory of engines, share of the load, crash monitor, source of random numbers and start time.
 *
 * @example
 * const scheduler = new PromptScheduler({ getMemoryTokens: () => 444_000, getLoadShare: () => 1, crashMonitor, random: Math.random, startedMs: performance.now() })
 * scheduler.setTargets(entries)
 * scheduler.request(request, nowMs) // { type: 'place', target: 'i-1', waitMs: 0, readMs: 80 }, or undefined while it waits
 */
export class PromptScheduler {
  /** Recent traffic of the client accounts, as far as this scheduler knows. */
  readonly shares = new AccountShares()
  readonly #options: PromptSchedulerOptions
  readonly #ranking = new TargetRanking()
  readonly #slowdowns = new TargetSlowdowns()
  readonly #circuits = new CircuitBreaker()
  readonly #engines = new Map<string, EngineState>()
  readonly #reservations = new EngineReservations()
  /** Ids of the large prompts in prefill. */
  readonly #largePrefills = new Set<string>()
  readonly #waiting = new Map<string, WaitingRequest>()
  readonly #running = new Map<string, RunningCall>()

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
    this.#ranking.setTargets(entries)
    const ids = new Set(entries.map(({ id }) => id))
    for (const id of this.#engines.keys()) {
      if (ids.has(id)) continue
      this.#engines.delete(id)
      this.#slowdowns.removeTarget(id)
    }
  }

  /** Places or refuses a request. Returns undefined if the request has to wait; `step` then yields its verdict. */
  request (request: PlacementRequest, nowMs: number): PlacementVerdict | undefined {
    this.shares.recordDemand(request.account, this.#countTokens(request), nowMs)
    const verdict = this.#chooseVerdict({ request, sinceMs: nowMs }, nowMs)
    if (!verdict) this.#waiting.set(request.id, { request, sinceMs: nowMs })
    return verdict
  }

  /** Yields the verdicts on waiting requests, those of the account with the least recent service first. */
  * step (nowMs: number): Generator<[id: string, PlacementVerdict]> {
    const queue = [...this.#waiting.values()].map(waiting => ({ waiting, service: this.shares.getStanding(waiting.request.account, nowMs).service }))
    queue.sort((a, b) => a.service - b.service || a.waiting.sinceMs - b.waiting.sinceMs)
    this.#reservations.clear()
    for (const { waiting } of queue) {
      const verdict = this.#chooseVerdict(waiting, nowMs)
      if (!verdict) continue
      this.#waiting.delete(waiting.request.id)
      yield [waiting.request.id, verdict]
    }
  }

  /**
   * Adds a running call that another scheduler placed, with that one's estimate of the time to the first event if known.
   * The call is charged to its account unless the shares contain it already (`isCounted`).
   */
  accept ({ request, target, readMs, isRead }: RunningPlacement, nowMs: number, { estimatedMs, isCounted = false }: { estimatedMs?: number, isCounted?: boolean } = {}): void {
    if (this.#running.has(request.id)) return
    if (!isCounted) {
      this.shares.recordDemand(request.account, this.#countTokens(request), nowMs)
      this.shares.recordService(request.account, this.#countTokens(request), nowMs)
    }
    this.#start(request, { target, readMs, estimatedMs, isRead, isAdopted: true }, nowMs)
    if (isRead) this.#recordRead(this.#running.get(request.id)!, { nowMs, elapsedMs: undefined })
  }

  /** Records the progress of a call, `elapsedMs` after its placement if given. A request that is still waiting is removed. */
  record (id: string, event: ProgressEvent, nowMs: number, { elapsedMs }: { elapsedMs?: number } = {}): void {
    if (this.#waiting.delete(id) && this.#waiting.size === 0) this.#reservations.clear()
    this.#largePrefills.delete(id)
    const call = this.#running.get(id)
    if (!call) return
    this.#options.crashMonitor.record(id, event, nowMs)
    if (event === 'read') return this.#recordRead(call, { nowMs, elapsedMs: elapsedMs ?? nowMs - call.startedMs })
    this.#running.delete(id)
    if (!call.isRead) this.#removeCharge(call, event)
    this.#engines.get(call.target)?.stop({ id, parts: call.request.parts, readMs: call.readMs })
    const circuit = formatCircuit(call.target, call.request.zone)
    if (event === 'unreachable') this.#circuits.open(circuit, nowMs)
    else if (event === 'lost') this.#circuits.recordFailure(circuit, nowMs)
    else this.#circuits.releaseProbe(circuit)
  }

  listRunning (): RunningPlacement[] {
    return [...this.#running.values()].map(({ request, target, readMs, isRead }) => ({ request, target, readMs, isRead }))
  }

  listCalls (): readonly TrackedCall[] {
    return [...this.#running.values()]
  }

  getEstimates (nowMs: number): ReturnType<typeof computeEstimates> {
    return computeEstimates(this.#engines, id => this.#slowdowns.getSlowdown(id, nowMs))
  }

  #recordRead (call: RunningCall, { nowMs, elapsedMs }: { nowMs: number, elapsedMs: number | undefined }): void {
    if (call.isRead) return
    call.isRead = true
    const { target, estimatedMs } = call
    this.#engines.get(target)?.recordFirstEvent({ id: call.request.id, readMs: call.readMs }, nowMs)
    if (estimatedMs !== undefined && elapsedMs !== undefined) this.#slowdowns.record(target, { estimatedMs, measuredMs: elapsedMs }, nowMs)
    this.#circuits.recordSuccess(formatCircuit(target, call.request.zone))
  }

  #chooseVerdict ({ request, sinceMs }: WaitingRequest, nowMs: number): PlacementVerdict | undefined {
    const refusal = this.#options.crashMonitor.findRefusal(request, nowMs)
    if (refusal) return refusal
    const candidates = this.#listCandidates(request, nowMs)
    if (candidates.length === 0) return { type: 'none' }
    const isLarge = Math.min(...candidates.map(({ nominalReadMs }) => nominalReadMs)) > LARGE_PROMPT_SHARE * request.objectiveMs
    const isLargeAllowed = this.#largePrefills.size < Math.max(1, Math.floor(this.#engines.size / ENGINES_PER_LARGE_PROMPT))
    const standing = this.shares.getStanding(request.account, nowMs, { pendingTokens: this.#countTokens(request) })
    const limits = computeAdmissionLimits({ objectiveMs: request.objectiveMs, waitedMs: nowMs - sinceMs, largePromptWaitMs: isLarge && isLargeAllowed ? LARGE_PROMPT_MAX_WAIT_MS : 0 }, standing)
    const free = this.#listFree(candidates, { ...limits, service: standing.service })
    const best = chooseBest(free.filter(candidate => isAdmissible(candidate, limits)), { maxRank: AFFINITY_TARGETS })
    if (best) return this.#place(request, best, { nowMs, isLarge })
    if (nowMs - sinceMs < MAX_WAIT_MS) {
      const soonest = free.length > 0 ? findSoonest(free) : undefined
      if (soonest && soonest.readMs <= MAX_RESERVATION_READ_MS) this.#reservations.add(soonest.target.id, standing.service)
      return undefined
    }
    const { waitMs, readMs } = findSoonest(candidates)
    return { type: 'refuse', retryAfterS: RETRY_AFTER_S + RETRY_AFTER_SPREAD_S * this.#options.random(), waitMs, readMs }
  }

  /** Lists the candidates that have room for a prompt of an account that was served so many tokens. */
  #listFree (candidates: readonly Candidate[], { queueMs, slotShare, service }: { queueMs: number, slotShare: number, service: number }): Candidate[] {
    const share = this.#options.getLoadShare()
    const active = this.#ranking.list(candidates[0].target.service, '')
    const ownLoad = { share, engines: active.length, slots: active.reduce((sum, { slots }) => sum + slots, 0), running: this.#running.size, pendingPrefillMs: share < 1 ? computeEstimates(this.#engines, () => 1).pendingPrefillMs : 0, queueMs }
    return candidates.filter(({ target, engine, waitMs, readMs }) => waitMs <= queueMs && engine.running < target.slots * share * slotShare &&
      hasOwnCapacity(ownLoad, readMs) && this.#reservations.isAvailable(target.id, service))
  }

  #place (request: PlacementRequest, { target, nominalReadMs, readMs, waitMs }: Candidate, { nowMs, isLarge }: { nowMs: number, isLarge: boolean }): PlacementVerdict {
    if (isLarge) this.#largePrefills.add(request.id)
    this.#circuits.tryAcquire(formatCircuit(target.id, request.zone), nowMs)
    this.#start(request, { target: target.id, readMs: nominalReadMs, estimatedMs: waitMs + readMs, isRead: false, isAdopted: false }, nowMs)
    this.shares.recordService(request.account, this.#countTokens(request), nowMs)
    this.#options.crashMonitor.recordPlacement(request, target.id, nowMs)
    return { type: 'place', target: target.id, waitMs, readMs, nominalReadMs }
  }

  #start (request: PlacementRequest, { target, isRead, ...estimates }: Omit<RunningCall, 'request' | 'startedMs'>, nowMs: number): void {
    this.#options.crashMonitor.start(request, { target, isRead }, nowMs)
    const entry = this.#ranking.find(target)
    const engine = entry && this.#getEngine(entry)
    this.#running.set(request.id, { request, target, isRead: false, startedMs: nowMs, ...estimates })
    engine?.start({ id: request.id, parts: request.parts, readMs: estimates.readMs }, nowMs)
  }

  #listCandidates ({ service, zone, parts, promptTokens, excluded }: PlacementRequest, nowMs: number): Candidate[] {
    // Id of the key part. The last part is specific to the request or session; most requests share the part before it.
    const key = parts.length === 0 ? '' : parts[Math.max(0, parts.length - 2)].id
    const eligible = this.#ranking.list(service, key).filter(({ id }) => !excluded.includes(id))
    const healthy = eligible.filter(({ id }) => this.#circuits.isNotOpen(formatCircuit(id, zone), nowMs) && !this.#engines.get(id)?.isUnresponsive(nowMs))
    const targets = healthy.length > 0 ? healthy : eligible
    const share = this.#options.getLoadShare()
    const isColdStart = nowMs - this.#options.startedMs < COLD_START_MS
    return targets.flatMap((target, rank) => {
      const engine = this.#getEngine(target)
      if (rank >= AFFINITY_TARGETS && !engine.isCached(key)) return []
      const slowdown = this.#slowdowns.getSlowdown(target.id, nowMs)
      const { readMs } = engine.computePrefill(parts, promptTokens, isColdStart && rank === 0 ? parts.length - 1 : 0)
      return [{ target, engine, nominalReadMs: readMs, readMs: readMs * slowdown, waitMs: engine.pendingPrefillMs / share * slowdown, rank }]
    })
  }

  /** A call that has not begun to run is no service. If its target could not be reached, the router requests it again. */
  #removeCharge ({ request, startedMs }: RunningCall, event: ProgressEvent): void {
    const tokens = this.#countTokens(request)
    this.shares.recordService(request.account, -tokens, startedMs)
    if (event === 'unreachable') this.shares.recordDemand(request.account, -tokens, startedMs)
  }

  /** No call counts for more than the memory of an engine, because engines reject larger ones. */
  #countTokens (request: PlacementRequest): number {
    return computeCallTokens(request, { maxTokens: this.#options.getMemoryTokens(request.service) })
  }

  #getEngine (target: TargetEntry): EngineState {
    let engine = this.#engines.get(target.id)
    if (!engine) {
      engine = this.#createEngine(target)
      this.#engines.set(target.id, engine)
    }
    return engine
  }

  /** Calls may run at the engine already: it has returned to the list of targets, or was not listed when they were adopted. */
  #createEngine (target: TargetEntry): EngineState {
    const engine = new EngineState(this.#options.getMemoryTokens(target.service) ?? Infinity)
    for (const { request: { id, parts }, target: runningAt, readMs, isRead, startedMs } of this.#running.values()) {
      if (runningAt !== target.id) continue
      engine.start({ id, parts, readMs }, startedMs)
      if (isRead) engine.recordFirstEvent({ id, readMs }, startedMs)
    }
    return engine
  }
}
