import type { PeerMessage } from '../../PeerMessage'
import type { AccountReporter } from '../AccountReporter'
import type { PeerState } from '../PeerState'

/** A peer that has not been heard for this time is left out. */
const PEER_SILENCE_MS = 1_000

/** The schedulers of the other zones, as one scheduler knows them. */
export class PeerRegistry {
  readonly #createReporter: () => AccountReporter
  readonly #peers = new Map<string, PeerState>()

  constructor (createReporter: () => AccountReporter) {
    this.#createReporter = createReporter
  }

  get (zone: string): PeerState | undefined {
    return this.#peers.get(zone)
  }

  isLive (zone: string): boolean {
    return this.#peers.get(zone)?.isSilent === false
  }

  * list (): Generator<PeerState> {
    yield * this.#peers.values()
  }

  * listLive (): Generator<PeerState> {
    for (const peer of this.#peers.values()) {
      if (!peer.isSilent) yield peer
    }
  }

  /**
   * Takes note of a message's head. Returns undefined if an older scheduler of the zone sent it. A session ends when the
   * peer was silent, so that lends which were sent before the silence are void.
   */
  observe (nowMs: number, zone: string, instance: string, head: Omit<PeerMessage, 'operations'>): PeerState | undefined {
    const peer = this.#peers.get(zone) ?? this.#add(nowMs, zone, instance, head.term)
    if (head.term < peer.term) return undefined
    if (head.term > peer.term || instance !== peer.instance) {
      Object.assign(peer, { instance, term: head.term, session: 0, lastLendId: 0, needsFullReport: true, isReported: false })
    }
    if (peer.isSilent || nowMs - peer.lastHeardAtMs > PEER_SILENCE_MS) {
      peer.ownSession++
      peer.needsFullReport = true
    }
    if (head.session !== peer.session) peer.needsFullReport = true
    peer.session = head.session
    peer.isSilent = false
    peer.lastHeardAtMs = nowMs
    return peer
  }

  /** Marks peers as silent and returns those that became so. */
  expire (nowMs: number): PeerState[] {
    const expired = [...this.listLive()].filter(peer => nowMs - peer.lastHeardAtMs > PEER_SILENCE_MS)
    for (const peer of expired) peer.isSilent = true
    return expired
  }

  addChange (service: string, account: string): void {
    for (const peer of this.#peers.values()) {
      const accounts = peer.changed.get(service)
      if (accounts) accounts.add(account)
      else peer.changed.set(service, new Set([account]))
    }
  }

  #add (nowMs: number, zone: string, instance: string, term: number): PeerState {
    const peer: PeerState = {
      zone,
      instance,
      term,
      session: 0,
      ownSession: 1,
      lastHeardAtMs: nowMs,
      lastSentAtMs: -Infinity,
      isSilent: false,
      needsFullReport: true,
      isReported: false,
      lastLendId: 0,
      nextLendId: 1,
      lent: new Map(),
      reporter: this.#createReporter(),
      changed: new Map()
    }
    this.#peers.set(zone, peer)
    return peer
  }
}
