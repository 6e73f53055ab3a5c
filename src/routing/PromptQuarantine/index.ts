import type { PromptPart } from '../../contract/PromptPart'
import type { SuspectPart } from '../../contract/SuspectPart'
import type { Crash } from '../Crash'
import { computeBlockMs } from './_lib/computeBlockMs'
import { findLatestStarts } from './_lib/findLatestStarts'
import { listSharedParts } from './_lib/listSharedParts'
import type { Suspicion } from './_lib/Suspicion'

interface PromptQuarantineOptions {
  /**
   * Time in milliseconds by which probes are later than the end of a block. Instances that don't see the calls of the
   * whole fleet probe later, so that not each of them probes the same part.
   */
  probeDelayMs?: number
}

interface CrashEvent {
  id: number
  startedMs: number
  crashes: number
  targets: Set<string>
  /** Part whose probe crashed the first target. */
  probed?: Suspicion
}

type Prompt = { service: string, parts: readonly PromptPart[] }

/** A single crash is too little evidence: it puts all parts of the requests at the target under suspicion. */
const BLOCKED_FROM_CRASHES = 2
/** Crashes of several targets within this time, as in the power loss of a zone, count once per part. */
const EVENT_WINDOW_MS = 300
/**
 * From this number of targets on, an event is not caused by a request and its retry alone. A part that is suspected of
 * all of its crashes is counted once more, because only few parts have requests at each of several targets.
 */
const MASS_EVENT_TARGETS = 3
/** A probe that has neither been answered nor crashed its target after this time has had no result. */
const PROBE_TIMEOUT_MS = 3_000
const SUSPICION_TTL_MS = 600_000
const BLOCK_TTL_MS = 3_600_000
const MAX_SUSPICIONS = 1_000
const MAX_ANSWERED_PARTS = 4_096
const MAX_TARGETS = 8
/** For this time after a part was answered or released, copies of other instances that still contain it are ignored. */
const CLEARED_TTL_MS = 600_000

/**
 * @name PromptQuarantine
 * @category Routing
 * @summary Decides which prompt parts are refused because targets crash when they answer requests with them.
 *
 * @description
 * Every part except the last of a request that was about to be answered when its target crashed is suspected. A later
 * answer to a request with the part clears it. From the second crash on without an answer in between, requests with the
 * part are refused. After a short block time one request is let through as a probe: an answer clears the part, a crash
 * blocks it for long, and each further probe that crashes for several times as long. Innocent parts that share the crashes
 * can't be told apart otherwise, because their requests are refused too; the parts of a service are probed one at a time.
 * Entries expire, and their number is bounded. The class does no I/O and reads no clock; times are milliseconds of
 * a monotonic clock.
 *
 * @example
 * quarantine.recordCrash({ service: 's', target: 'i-1', prompts: [parts] }, nowMs) // parts that are blocked from now on
 * quarantine.findBlocked({ service: 's', parts }, nowMs) // undefined if the request may be placed
 */
export class PromptQuarantine {
  readonly #probeDelayMs: number
  readonly #suspicions = new Map<string, Suspicion>()
  /** Parts that were answered, the least recently answered first. */
  readonly #answered = new Set<string>()
  /** Probe in flight of each service. */
  readonly #probes = new Map<string, { part: string, startedMs: number, untilMs: number }>()
  readonly #events = new Map<string, CrashEvent>()
  /** Times at which parts were answered or released, the oldest first. */
  readonly #clearedMs = new Map<string, number>()
  #nextEvent = 1
  #crashes = 0

  constructor ({ probeDelayMs = 0 }: PromptQuarantineOptions = {}) {
    this.#probeDelayMs = probeDelayMs
  }

  /** Number of crashes of targets that were recorded here. */
  get crashes (): number {
    return this.#crashes
  }

  /** Records a crash of a target. Returns the parts that are blocked from now on and were not before. */
  recordCrash (crash: Crash, nowMs: number): SuspectPart[] {
    const { service, target, crashedMs = nowMs } = crash
    this.#expire(nowMs)
    this.#crashes++
    const event = this.#findEvent(service, target, crashedMs)
    if (event.targets.size > 1) this.#withdrawProbeCrash(event, nowMs)
    const newlyBlocked: SuspectPart[] = []
    for (const [part, startedMs] of findLatestStarts(crash)) {
      const suspicion = this.#getSuspicion({ service, part })
      this.#clearedMs.delete(formatKey(service, part))
      const isCounted = this.#countCrash(suspicion, { event, target, startedMs, crashedMs })
      if (!isCounted) continue
      if (isBlockable(suspicion)) suspicion.blockedUntilMs = Math.max(suspicion.blockedUntilMs, nowMs + computeBlockMs(suspicion))
      if (suspicion.crashes === BLOCKED_FROM_CRASHES) newlyBlocked.push(this.#convert(suspicion, nowMs))
    }
    this.#evict()
    return newlyBlocked
  }

  /** Records that a target began to answer at `nowMs` and survived it. Returns the parts that were blocked until now. */
  recordAnswer ({ service, parts }: Prompt, nowMs: number): SuspectPart[] {
    const cleared: SuspectPart[] = []
    for (const part of listSharedParts(parts)) {
      const key = formatKey(service, part)
      this.#answered.delete(key)
      this.#answered.add(key)
      const suspicion = this.#suspicions.get(key)
      if (!suspicion || nowMs <= suspicion.lastCrashMs) continue
      if (isBlockable(suspicion)) cleared.push(this.#convert(suspicion, nowMs))
      this.#recordCleared(key, nowMs)
      this.#remove(suspicion)
    }
    for (const key of this.#answered) {
      if (this.#answered.size <= MAX_ANSWERED_PARTS) break
      this.#answered.delete(key)
    }
    return cleared
  }

  /** Finds a part because of which the request must be refused. */
  findBlocked ({ service, parts }: Prompt, nowMs: number): SuspectPart | undefined {
    const suspicions = this.#findBlockable({ service, parts })
    if (suspicions.length === 0) return undefined
    const blocked = suspicions.find(suspicion => nowMs < suspicion.blockedUntilMs + this.#probeDelayMs)
    if (blocked) return this.#convert(blocked, nowMs)
    // A request with several such parts would not show which of them is at fault.
    const isProbeAllowed = suspicions.length === 1 && !(nowMs < (this.#probes.get(service)?.untilMs ?? -Infinity))
    return isProbeAllowed ? undefined : this.#convert(suspicions[0], nowMs)
  }

  /** Records that a request has been placed. Returns the part for which the request is the probe. */
  recordPlacement ({ service, parts }: Prompt, nowMs: number): SuspectPart | undefined {
    const [suspicion] = this.#findBlockable({ service, parts })
    if (!suspicion) return undefined
    this.#probes.set(service, { part: suspicion.part, startedMs: nowMs, untilMs: nowMs + PROBE_TIMEOUT_MS })
    return this.#convert(suspicion, nowMs)
  }

  list (nowMs: number): SuspectPart[] {
    this.#expire(nowMs)
    return [...this.#suspicions.values()].map(suspicion => this.#convert(suspicion, nowMs))
  }

  /**
   * Adopts what another instance knows: of each part the higher count and the later end of the block. Parts that were
   * answered or released here are not adopted for some minutes, because the copy may be older.
   */
  merge (entries: readonly SuspectPart[], nowMs: number): void {
    for (const { service, part, crashes, blockedMs, targets } of entries) {
      if (nowMs - (this.#clearedMs.get(formatKey(service, part)) ?? -Infinity) < CLEARED_TTL_MS) continue
      const suspicion = this.#getSuspicion({ service, part })
      if (crashes > suspicion.crashes) {
        suspicion.crashes = crashes
        suspicion.lastCrashMs = nowMs
      }
      suspicion.blockedUntilMs = Math.max(suspicion.blockedUntilMs, nowMs + blockedMs)
      suspicion.targets = [...new Set([...targets, ...suspicion.targets])].slice(-MAX_TARGETS)
    }
    this.#evict()
  }

  /** Replaces all entries by those of another instance. */
  replace (entries: readonly SuspectPart[], nowMs: number): void {
    this.#suspicions.clear()
    this.#probes.clear()
    this.#clearedMs.clear()
    this.merge(entries, nowMs)
  }

  /** Removes a part at the request of an operator. Returns whether it was suspected. */
  release ({ service, part }: { service: string, part: string }, nowMs: number): boolean {
    const key = formatKey(service, part)
    const suspicion = this.#suspicions.get(key)
    if (suspicion) this.#remove(suspicion)
    this.#recordCleared(key, nowMs)
    return suspicion !== undefined
  }

  /** Counts a crash for a part, unless it is no new evidence beside other crashes of the event. Returns whether it counts. */
  #countCrash (suspicion: Suspicion, { event, target, startedMs, crashedMs }: { event: CrashEvent, target: string, startedMs: number, crashedMs: number }): boolean {
    if (suspicion.eventId !== event.id) Object.assign(suspicion, { eventId: event.id, eventCrashes: 0 })
    suspicion.eventCrashes++
    suspicion.targets = [...suspicion.targets.filter(id => id !== target), target].slice(-MAX_TARGETS)
    // A request that was placed after the previous crash, such as its retry, is new evidence within the window too.
    const isRepeated = startedMs > suspicion.lastCrashMs && event.targets.size < MASS_EVENT_TARGETS
    const isCommon = event.crashes === MASS_EVENT_TARGETS && suspicion.eventCrashes === event.crashes
    if (suspicion.eventCrashes > 1 && !isRepeated && !isCommon) return false
    suspicion.crashes++
    suspicion.lastCrashMs = Math.max(suspicion.lastCrashMs, crashedMs)
    this.#countProbeCrash(suspicion, { event, startedMs })
    return true
  }

  #countProbeCrash (suspicion: Suspicion, { event, startedMs }: { event: CrashEvent, startedMs: number }): void {
    const probe = this.#probes.get(suspicion.service)
    if (probe?.part !== suspicion.part || startedMs < probe.startedMs) return
    this.#probes.delete(suspicion.service)
    if (event.targets.size > 1) return
    suspicion.probeCrashes++
    event.probed = suspicion
  }

  #recordCleared (key: string, nowMs: number): void {
    this.#clearedMs.delete(key)
    this.#clearedMs.set(key, nowMs)
    if (this.#clearedMs.size > MAX_SUSPICIONS) for (const oldest of this.#clearedMs.keys()) if (this.#clearedMs.delete(oldest)) break
  }

  #findBlockable ({ service, parts }: Prompt): Suspicion[] {
    if (this.#suspicions.size === 0) return []
    return listSharedParts(parts).flatMap(part => this.#suspicions.get(formatKey(service, part)) ?? []).filter(isBlockable)
  }

  #convert (suspicion: Suspicion, nowMs: number): SuspectPart {
    const { service, part, crashes, targets, blockedUntilMs } = suspicion
    const probe = isBlockable(suspicion) ? this.#probes.get(service) : undefined
    const untilMs = Math.max(blockedUntilMs, probe?.untilMs ?? -Infinity)
    return { service, part, crashes, blockedMs: Math.max(0, untilMs - nowMs), targets: [...targets] }
  }

  #findEvent (service: string, target: string, crashedMs: number): CrashEvent {
    let event = this.#events.get(service)
    if (!event || crashedMs - event.startedMs > EVENT_WINDOW_MS) event = { id: this.#nextEvent++, startedMs: crashedMs, crashes: 0, targets: new Set() }
    event.crashes++
    event.targets.add(target)
    this.#events.set(service, event)
    return event
  }

  /** A probe crashes one target. If others crash at the same time, as in the power loss of a zone, it is not the cause. */
  #withdrawProbeCrash (event: CrashEvent, nowMs: number): void {
    const { probed } = event
    if (!probed) return
    event.probed = undefined
    probed.probeCrashes--
    probed.blockedUntilMs = nowMs + computeBlockMs(probed)
  }

  #getSuspicion ({ service, part }: { service: string, part: string }): Suspicion {
    const key = formatKey(service, part)
    let suspicion = this.#suspicions.get(key)
    if (!suspicion) {
      suspicion = { service, part, crashes: 0, probeCrashes: 0, eventId: 0, eventCrashes: 0, targets: [], lastCrashMs: -Infinity, blockedUntilMs: -Infinity, wasAnswered: this.#answered.has(key) }
      this.#suspicions.set(key, suspicion)
    }
    return suspicion
  }

  #remove ({ service, part }: Suspicion): void {
    this.#suspicions.delete(formatKey(service, part))
    if (this.#probes.get(service)?.part === part) this.#probes.delete(service)
  }

  #expire (nowMs: number): void {
    for (const suspicion of [...this.#suspicions.values()]) {
      const ttlMs = isBlockable(suspicion) ? BLOCK_TTL_MS : SUSPICION_TTL_MS
      if (nowMs - Math.max(suspicion.lastCrashMs, suspicion.blockedUntilMs) > ttlMs) this.#remove(suspicion)
    }
  }

  /** Evicts the suspicions with the fewest crashes, of these the oldest. */
  #evict (): void {
    if (this.#suspicions.size <= MAX_SUSPICIONS) return
    const weakest = [...this.#suspicions.values()].sort((a, b) => a.crashes - b.crashes || a.lastCrashMs - b.lastCrashMs)
    for (const suspicion of weakest.slice(0, this.#suspicions.size - MAX_SUSPICIONS)) this.#remove(suspicion)
  }
}

function isBlockable ({ crashes }: Suspicion): boolean {
  return crashes >= BLOCKED_FROM_CRASHES
}

function formatKey (service: string, part: string): string {
  return `${service} ${part}`
}
