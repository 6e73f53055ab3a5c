const HEARTBEAT_TIMEOUT_MS = 1_000
/** At its start a router waits this long for the heartbeat of a scheduler that exists already. */
const FIRST_TIMEOUT_MS = 300
/** The next candidate in order waits this much longer, so that normally only one claims the role. */
const STAGGER_MS = 400
/** A gap between ticks that is longer than this means that the process was paused. */
const PAUSE_MS = 1_000

type ElectionEffect =
  | { type: 'lead', term: number }
  | { type: 'follow', instance: string, term: number }
  | { type: 'resign' }

interface SchedulerElectionOptions {
  instance: string
  /** Wall clock of the process start. */
  startedAt: number
  /** Whether other routers of the zone are known from the settings. */
  hasPeers: boolean
}

/**
 * @name SchedulerElection
 * @category Schedule
 * @summary Decides which router of a zone is its scheduler.
 *
 * @description
 * The live router with the smallest (start time, id) claims the role when no heartbeat was heard for a second; the next
 * ones wait longer. Terms grow, and the highest term wins. A scheduler that was paused gives up the role, because another
 * one may have taken it. Decision code: methods take the time and yield effects.
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
  readonly #members = new Map<string, number>()
  #term = 0
  #scheduler?: string
  #isLeaving = false
  #timeoutAtMs: number
  #lastTickAtMs: number

  constructor (nowMs: number, options: SchedulerElectionOptions) {
    this.#options = options
    this.#timeoutAtMs = nowMs + (options.hasPeers ? FIRST_TIMEOUT_MS : 0)
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
    this.#members.set(instance, startedAt)
  }

  removeMember (instance: string): void {
    this.#members.delete(instance)
  }

  listMembers (): string[] {
    return [...this.#members.keys()]
  }

  * handleHeartbeat (nowMs: number, instance: string, heartbeat: { term: number, isLeaving: boolean }): Generator<ElectionEffect> {
    const { term, isLeaving } = heartbeat
    if (term < this.#term || (term === this.#term && this.#isBeaten(instance))) return
    const isNew = term > this.#term || instance !== this.#scheduler
    if (isNew && this.isLeading) yield { type: 'resign' }
    this.#term = term
    this.#scheduler = instance
    this.#timeoutAtMs = isLeaving ? nowMs : nowMs + HEARTBEAT_TIMEOUT_MS
    if (isNew && !isLeaving) yield { type: 'follow', instance, term }
  }

  * tick (nowMs: number): Generator<ElectionEffect> {
    const wasPaused = nowMs - this.#lastTickAtMs > PAUSE_MS
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

  /** Gives up the role for good, before a planned stop. */
  * stop (): Generator<ElectionEffect> {
    this.#isLeaving = true
    if (this.isLeading) yield * this.#stopLeading()
  }

  * #stopLeading (): Generator<ElectionEffect> {
    this.#scheduler = undefined
    yield { type: 'resign' }
  }

  /** Two schedulers with the same term: the one with the smaller id stays. */
  #isBeaten (instance: string): boolean {
    return this.#scheduler !== undefined && this.#scheduler !== instance && this.#scheduler < instance
  }

  #computeRank (): number {
    const { instance, startedAt } = this.#options
    let rank = 0
    for (const [member, memberStartedAt] of this.#members) {
      if (member === this.#scheduler) continue
      if (memberStartedAt < startedAt || (memberStartedAt === startedAt && member < instance)) rank++
    }
    return rank
  }
}
