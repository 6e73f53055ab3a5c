import type { PromptPart } from '../../contract/PromptPart'
import type { Crash } from '../Crash'

interface Call {
  service: string
  parts: readonly PromptPart[]
  target: string
  startedMs: number
  /** Time of the first event; undefined before it. */
  readMs?: number
}

interface LossEpisode {
  service: string
  firstMs: number
  suspects: Call[]
  /** Calls that ran when the first one was lost and whose end is not known yet. */
  undecided: Set<string>
  lost: number
  /** Calls that ran when the first one was lost, and made progress or ended well after it. */
  survivors: number
}

type CallEvent = 'read' | 'ended' | 'unreachable' | 'lost' | 'withdrawn'

/** Reports on the calls of a crashed target come from all routers within this time, from busy ones last. */
const LOSS_WINDOW_MS = 400
/**
 * A target that crashes because of a call does so when it begins to answer it. A call whose target still works after
 * this time is not the cause of a later crash.
 */
const SURVIVAL_MS = 400
/** A crashed target needs longer than this to start again. Until then its connections are reset, which is no new crash. */
const RESTART_MS = 1_000

/**
 * @name CrashDetector
 * @category Routing
 * @summary Decides from the ends of the calls at each target whether the target crashed, and which calls it survived.
 *
 * @description
 * A target has crashed if all the calls that it ran are lost within a short time. If other calls go on, for example
 * those of another zone, a response was truncated or a link was cut. Suspected are the calls whose answer had not begun
 * before the crash, or only just. The class does no I/O and reads no clock; times are milliseconds of a monotonic clock.
 *
 * @example
 * detector.start('7', { service: 's', parts, target: 'i-1' }, 0)
 * detector.record('7', 'lost', 100) // { service: 's', target: 'i-1', prompts: [parts], startedMs: [0], crashedMs: 100 }
 */
export class CrashDetector {
  readonly #calls = new Map<string, Call>()
  readonly #callsByTarget = new Map<string, Set<string>>()
  readonly #episodes = new Map<string, LossEpisode>()
  /** Calls whose answer has begun, until it is known whether the target survives it; in the order of their beginning. */
  readonly #begun = new Set<Call>()
  /** Time of the last crash of each target that has not begun to answer since and may still be down. */
  readonly #crashedMs = new Map<string, number>()

  /** Adds a call; `isRead` if its answer began long before. */
  start (id: string, { service, parts, target, isRead = false }: { service: string, parts: readonly PromptPart[], target: string, isRead?: boolean }, nowMs: number): void {
    this.#calls.set(id, { service, parts, target, startedMs: nowMs, readMs: isRead ? -Infinity : undefined })
    const ids = this.#callsByTarget.get(target) ?? new Set()
    this.#callsByTarget.set(target, ids.add(id))
  }

  /** Records the progress of a call. Returns the crash that it completes the evidence of. */
  record (id: string, event: CallEvent, nowMs: number): Crash | undefined {
    const call = this.#calls.get(id)
    if (!call) return undefined
    this.#closeEpisode(call.target, nowMs)
    if (event === 'read') {
      if (call.readMs !== undefined) return undefined
      call.readMs = nowMs
      this.#begun.add(call)
      this.#crashedMs.delete(call.target)
      return undefined
    }
    const isLost = event === 'lost' || event === 'unreachable'
    if (event === 'lost' && !this.#episodes.has(call.target) && !this.#isDown(call.target, nowMs)) this.#openEpisode(call, nowMs)
    this.#removeCall(id, call)
    const episode = this.#episodes.get(call.target)
    if (!episode) return undefined
    const wasRunning = episode.undecided.delete(id)
    if (isLost) episode.lost++
    else if (wasRunning) episode.survivors++
    if (event === 'lost') {
      this.#begun.delete(call)
      if (call.readMs === undefined || call.readMs > episode.firstMs - SURVIVAL_MS) episode.suspects.push(call)
    }
    return episode.undecided.size === 0 ? this.#conclude(call.target, episode, nowMs) : undefined
  }

  /**
   * Takes the crashes at which not all calls have ended in time. A call that was not read may still be connecting to the
   * crashed target, so it does not show that the target works.
   */
  takeOverdueCrashes (nowMs: number): Crash[] {
    const crashes: Crash[] = []
    for (const [target, episode] of this.#episodes) {
      const crash = nowMs - episode.firstMs > LOSS_WINDOW_MS ? this.#conclude(target, episode, nowMs) : undefined
      if (crash) crashes.push(crash)
    }
    return crashes
  }

  /** Takes the calls whose answer began and was survived by the target, with the time at which it began. */
  takeAnswered (nowMs: number): { service: string, parts: readonly PromptPart[], readMs: number }[] {
    const answered: { service: string, parts: readonly PromptPart[], readMs: number }[] = []
    for (const call of this.#begun) {
      const readMs = call.readMs!
      if (nowMs - readMs < SURVIVAL_MS) break
      this.#closeEpisode(call.target, nowMs)
      if (this.#episodes.has(call.target)) continue
      this.#begun.delete(call)
      answered.push({ service: call.service, parts: call.parts, readMs })
    }
    return answered
  }

  #openEpisode ({ service, target }: Call, nowMs: number): void {
    this.#episodes.set(target, { service, firstMs: nowMs, suspects: [], undecided: new Set(this.#callsByTarget.get(target)), lost: 0, survivors: 0 })
  }

  /** Ends the episode of a target some of whose calls go on: it has not crashed. */
  #closeEpisode (target: string, nowMs: number): void {
    const episode = this.#episodes.get(target)
    if (episode && nowMs - episode.firstMs > LOSS_WINDOW_MS) this.#episodes.delete(target)
  }

  #conclude (target: string, { service, firstMs, suspects, undecided, lost, survivors }: LossEpisode, nowMs: number): Crash | undefined {
    this.#episodes.delete(target)
    if ([...undecided].some(id => this.#calls.get(id)?.readMs !== undefined)) return undefined
    // Calls that ended shortly before a crash may be reported late, so that a few of them don't disprove it.
    if (lost <= survivors + undecided.size) return undefined
    this.#crashedMs.set(target, nowMs)
    // What the target had just begun and ended well is neither suspected nor cleared.
    for (const call of this.#begun) if (call.target === target && call.readMs! > firstMs - SURVIVAL_MS) this.#begun.delete(call)
    return { service, target, prompts: suspects.map(({ parts }) => parts), startedMs: suspects.map(({ startedMs }) => startedMs), crashedMs: firstMs }
  }

  #isDown (target: string, nowMs: number): boolean {
    for (const [id, crashedMs] of this.#crashedMs) if (nowMs - crashedMs > RESTART_MS) this.#crashedMs.delete(id)
    return this.#crashedMs.has(target)
  }

  #removeCall (id: string, { target }: Call): void {
    this.#calls.delete(id)
    const ids = this.#callsByTarget.get(target)
    ids?.delete(id)
    if (ids?.size === 0) this.#callsByTarget.delete(target)
  }
}
