const HEARTBEAT_TIMEOUT_MS = 1_000
/** A starting router waits this long for the heartbeat of an existing scheduler. */
const INITIAL_TIMEOUT_MS = 300
/** Each candidate waits this much longer than the one before it, so that normally only one claims the role. */
const STAGGER_MS = 400
/** A longer gap between ticks means that the process was paused. */
const PAUSE_THRESHOLD_MS = 1_000

type ElectionEffect =
  | { type: 'lead', term: number }
  | { type: 'follow', instance: string, term: number }
  | { type: 'resign' }

interface SchedulerElectionOptions {
  instance: string
  /** Wall-clock time of the process start. */
  startedAt: number
  /** Whether the settings list other routers of the zone. */
  hasPeers: boolean
}

/**
 * @name SchedulerElection
 * @category Schedule
 * @summary Elects the router that is the scheduler of its zone.
 *
 * @description
 * When no heartbeat has arrived for a second, the live router with the smallest (start time, id) claims the role; the
 * others wait longer, in that order. Terms grow, and the highest term wins. A scheduler whose process was paused resigns,
 * because another router may have claimed the role. Decision code without I/O: methods take the time and yield effects.
 *
 * @param nowMs - Monotonic time of the start.
 * @param options - Own id and start time, whether other routers are known.
 *
 * @example
 * const election = new SchedulerElection(0, { instance: 'r1', startedAt: Date.now(), hasPeers: false })
 * [...election.tick(0)] // [{ type: 'lead', term: 1 }]
 */
export class SchedulerElection {
  readonly #options: SchedulerElectionOptions
  /** Start times of the other live routers of the zone, by instance. */
  readonly #memberStartTimes = new Map<string, number>()
  #term = 0
  #scheduler?: string
  #isLeaving = false
  /** Time when the heartbeat time-out expires; candidates of a higher rank wait longer. */
  #timeoutAtMs: number
  #lastTickAtMs: number

  constructor (nowMs: number, options: SchedulerElectionOptions) {
    this.#options = options
    this.#timeoutAtMs = nowMs + (options.hasPeers ? INITIAL_TIMEOUT_MS : 0)
    this.#lastTickAtMs = nowMs
  }

  get scheduler (): string | undefined {
    return this.#scheduler
  }

  get term (): number {
    return this.#term
  }

  get isLeading (): boolean {
    return this.#scheduler === this.#options.instance
  }

  addMember (instance: string, startedAt: number): void {
    this.#memberStartTimes.set(instance, startedAt)
  }

  removeMember (instance: string): void {
    this.#memberStartTimes.delete(instance)
  }

  listMembers (): string[] {
    return [...this.#memberStartTimes.keys()]
  }

  * handleHeartbeat (nowMs: number, instance: string, heartbeat: { term: number, isLeaving: boolean }): Generator<ElectionEffect> {
    const { term, isLeaving } = heartbeat
    if (term < this.#term || (term === this.#term && this.#isOutranked(instance))) return
    const isNewScheduler = term > this.#term || instance !== this.#scheduler
    if (isNewScheduler && this.isLeading) yield { type: 'resign' }
    this.#term = term
    this.#scheduler = instance
    this.#timeoutAtMs = isLeaving ? nowMs : nowMs + HEARTBEAT_TIMEOUT_MS
    if (isNewScheduler && !isLeaving) yield { type: 'follow', instance, term }
  }

  * tick (nowMs: number): Generator<ElectionEffect> {
    const wasPaused = nowMs - this.#lastTickAtMs > PAUSE_THRESHOLD_MS
    this.#lastTickAtMs = nowMs
    if (wasPaused) {
      this.#timeoutAtMs = nowMs + HEARTBEAT_TIMEOUT_MS
      if (this.isLeading) yield * this.#stopLeading()
      return
    }
    if (this.isLeading || this.#isLeaving || nowMs < this.#timeoutAtMs + this.#computeRank() * STAGGER_MS) return
    this.#term++
    this.#scheduler = this.#options.instance
    yield { type: 'lead', term: this.#term }
  }

  /** Resigns before a planned stop and never claims the role again. */
  * stop (): Generator<ElectionEffect> {
    this.#isLeaving = true
    if (this.isLeading) yield * this.#stopLeading()
  }

  * #stopLeading (): Generator<ElectionEffect> {
    this.#scheduler = undefined
    yield { type: 'resign' }
  }

  /** Whether the known scheduler wins over another instance with the same term. The smaller id wins. */
  #isOutranked (instance: string): boolean {
    return this.#scheduler !== undefined && this.#scheduler !== instance && this.#scheduler < instance
  }

  /** Number of live members that come before this router. The last known scheduler is not counted. */
  #computeRank (): number {
    const { instance, startedAt } = this.#options
    let rank = 0
    for (const [member, memberStartedAt] of this.#memberStartTimes) {
      if (member === this.#scheduler) continue
      if (memberStartedAt < startedAt || (memberStartedAt === startedAt && member < instance)) rank++
    }
    return rank
  }
}
