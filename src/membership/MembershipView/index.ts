import type { PlatformInstance } from '../../contract/PlatformInstance'
import type { Heartbeat } from '../Heartbeat'
import type { Member } from '../Member'

interface Entry {
  listed?: PlatformInstance
  listedAtMs: number
  heartbeat?: Heartbeat
  heartbeatAtMs: number
  /** Incarnation that the platform's `leaving` refers to; a later incarnation is not leaving. */
  leavingIncarnation?: string
}

interface MembershipViewOptions {
  /** Without a heartbeat for this time an instance is suspect. */
  suspectMs: number
  /** Without a heartbeat and not listed for this time an instance is removed. */
  removeMs: number
}

/**
 * @name MembershipView
 * @category Membership
 * @summary Which instances are live, from heartbeats, the platform's lagging list and incarnations.
 *
 * @description
 * A fresh heartbeat counts more than the list, because the list lags: an instance that the list no longer or not yet
 * holds is live while its heartbeats arrive. A listed instance without heartbeats is suspect and stays a candidate to
 * connect to. Late heartbeats of an older incarnation are ignored. Times are milliseconds of the monotonic clock.
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
  readonly #entries = new Map<string, Entry>()

  constructor (options: MembershipViewOptions) {
    this.#options = options
  }

  recordHeartbeat (heartbeat: Heartbeat, nowMs: number): void {
    const entry = this.#getEntry(heartbeat.instance)
    const known = entry.heartbeat
    if (known && known.incarnation !== heartbeat.incarnation && known.startedAtMs > heartbeat.startedAtMs) return
    entry.heartbeat = heartbeat
    entry.heartbeatAtMs = nowMs
  }

  /** Replaces what the platform's list says. An empty answer of a failing platform must not be passed in. */
  recordList (instances: readonly PlatformInstance[], nowMs: number): void {
    for (const entry of this.#entries.values()) entry.listed = undefined
    for (const instance of instances) this.#recordListed(this.#getEntry(instance.instance), instance, nowMs)
    this.#expire(nowMs)
  }

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

  #recordListed (entry: Entry, instance: PlatformInstance, nowMs: number): void {
    entry.listed = instance
    entry.listedAtMs = nowMs
    if (instance.state === 'live') entry.leavingIncarnation = undefined
    else entry.leavingIncarnation ??= entry.heartbeat?.incarnation ?? ''
  }

  #computeState (entry: Entry, nowMs: number): Member['state'] {
    const isFresh = entry.heartbeat !== undefined && nowMs - entry.heartbeatAtMs <= this.#options.suspectMs
    const isListedLeaving = entry.leavingIncarnation !== undefined && entry.leavingIncarnation === (entry.heartbeat?.incarnation ?? '')
    if (isListedLeaving || (isFresh && entry.heartbeat?.isLeaving)) return 'leaving'
    return isFresh ? 'live' : 'suspect'
  }

  #getEntry (instance: string): Entry {
    const entry = this.#entries.get(instance) ?? { listedAtMs: -Infinity, heartbeatAtMs: -Infinity }
    this.#entries.set(instance, entry)
    return entry
  }

  #expire (nowMs: number): void {
    for (const [instance, entry] of this.#entries) {
      const isGone = nowMs - Math.max(entry.heartbeatAtMs, entry.listedAtMs) > this.#options.removeMs
      if (!entry.listed && isGone) this.#entries.delete(instance)
    }
  }
}
