import type { PlatformInstance } from '../../contract/PlatformInstance'
import type { Heartbeat } from '../Heartbeat'
import type { Member } from '../Member'

interface InstanceEntry {
  /** The instance in the newest list of the platform; undefined if the list doesn't contain it. */
  listed?: PlatformInstance
  listedAtMs: number
  heartbeat?: Heartbeat
  heartbeatAtMs: number
  /**
   * Incarnation to which the state `leaving` in the platform's list applies; a later incarnation is not leaving. Empty if
   * no heartbeat had arrived: the state then applies until the first one.
   */
  leavingIncarnation?: string
}

interface MembershipViewOptions {
  /** An instance without a heartbeat for this time is suspect. */
  suspectMs: number
  /** An instance that has neither sent a heartbeat nor been listed for this time is removed. */
  removeMs: number
}

/**
 * @name MembershipView
 * @category Membership
 * @summary Derives the liveness of instances from heartbeats, incarnations and the platform's list.
 *
 * @description
 * The list lags, so `getState` returns `live` for an instance that the list does not contain yet, or no longer contains,
 * while its heartbeats arrive; `list` returns listed instances only. If the list states that the present incarnation is
 * leaving, this takes precedence over its heartbeats. A listed instance without heartbeats is suspect but remains a
 * candidate for connections. Late heartbeats of an older incarnation are ignored. Times are milliseconds of a monotonic
 * clock.
 *
 * @param options - Time limits in milliseconds.
 *
 * @example
 * const view = new MembershipView({ suspectMs: 1000, removeMs: 60_000 })
 * view.recordHeartbeat({ instance: 'r1', incarnation: 'a1', startedAtMs: 0, isLeaving: false }, 0)
 * view.getState('r1', 500) // 'live'
 * view.getState('r1', 2000) // 'suspect'
 */
export class MembershipView {
  readonly #options: MembershipViewOptions
  readonly #entries = new Map<string, InstanceEntry>()

  constructor (options: MembershipViewOptions) {
    this.#options = options
  }

  recordHeartbeat (heartbeat: Heartbeat, nowMs: number): void {
    const entry = this.#getEntry(heartbeat.instance)
    const latest = entry.heartbeat
    if (latest && latest.incarnation !== heartbeat.incarnation && latest.startedAtMs > heartbeat.startedAtMs) return
    entry.heartbeat = heartbeat
    entry.heartbeatAtMs = nowMs
  }

  /** Replaces the platform's list. An empty response of a failing platform must not be passed in. */
  recordList (instances: readonly PlatformInstance[], nowMs: number): void {
    for (const entry of this.#entries.values()) entry.listed = undefined
    for (const instance of instances) this.#recordListed(this.#getEntry(instance.instance), instance, nowMs)
    this.#expire(nowMs)
  }

  /** The instances of the platform's list with their state. */
  list (nowMs: number): Member[] {
    this.#expire(nowMs)
    const members: Member[] = []
    for (const entry of this.#entries.values()) {
      if (entry.listed) members.push({ ...entry.listed, state: this.#computeState(entry, nowMs), incarnation: entry.heartbeat?.incarnation })
    }
    return members
  }

  getState (instance: string, nowMs: number): Member['state'] | undefined {
    const entry = this.#entries.get(instance)
    return entry && this.#computeState(entry, nowMs)
  }

  #recordListed (entry: InstanceEntry, instance: PlatformInstance, nowMs: number): void {
    entry.listed = instance
    entry.listedAtMs = nowMs
    if (instance.state === 'live') entry.leavingIncarnation = undefined
    else entry.leavingIncarnation ??= entry.heartbeat?.incarnation ?? ''
  }

  #computeState (entry: InstanceEntry, nowMs: number): Member['state'] {
    const isFresh = entry.heartbeat !== undefined && nowMs - entry.heartbeatAtMs <= this.#options.suspectMs
    const isListedLeaving = entry.leavingIncarnation !== undefined && entry.leavingIncarnation === (entry.heartbeat?.incarnation ?? '')
    if (isListedLeaving || (isFresh && entry.heartbeat?.isLeaving)) return 'leaving'
    return isFresh ? 'live' : 'suspect'
  }

  #getEntry (instance: string): InstanceEntry {
    const entry = this.#entries.get(instance) ?? { listedAtMs: -Infinity, heartbeatAtMs: -Infinity }
    this.#entries.set(instance, entry)
    return entry
  }

  #expire (nowMs: number): void {
    for (const [instance, entry] of this.#entries) {
      const isExpired = nowMs - Math.max(entry.heartbeatAtMs, entry.listedAtMs) > this.#options.removeMs
      if (!entry.listed && isExpired) this.#entries.delete(instance)
    }
  }
}
