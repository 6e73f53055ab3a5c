import type { PeerMessage } from '../../PeerMessage'
import type { AccountReporter } from '../AccountReporter'
import type { PeerState } from '../PeerState'

/** A peer times out when no message from it has arrived for this long. */
const PEER_TIMEOUT_MS = 1_000

/** Last known state of the schedulers of the other zones. */
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
    return this.#peers.get(zone)?.isTimedOut === false
  }

  * list (): Generator<PeerState> {
    yield * this.#peers.values()
  }

  * listLive (): Generator<PeerState> {
    for (const peer of this.#peers.values()) {
      if (!peer.isTimedOut) yield peer
    }
  }

  /**
   * Updates a peer from the header of its message. Returns undefined if an older scheduler of the zone sent the message.
   * After a time-out, this scheduler starts a new session with the peer, and slots that the peer lent in an earlier
   * session are refused.
   */
  observeHeader (nowMs: number, zone: string, instance: string, header: Omit<PeerMessage, 'operations'>): PeerState | undefined {
    const peer = this.#peers.get(zone) ?? this.#addPeer(nowMs, zone, instance, header.term)
    if (header.term < peer.term) return undefined
    if (header.term > peer.term || instance !== peer.instance) {
      Object.assign(peer, { instance, term: header.term, peerSession: 0, lastLendId: 0, needsFullReport: true, hasSentFullReport: false })
    }
    if (peer.isTimedOut || nowMs - peer.lastHeardAtMs > PEER_TIMEOUT_MS) {
      peer.ownSession++
      peer.needsFullReport = true
    }
    if (header.session !== peer.peerSession) peer.needsFullReport = true
    peer.peerSession = header.session
    peer.isTimedOut = false
    peer.lastHeardAtMs = nowMs
    return peer
  }

  /** Marks silent peers as timed out and returns those that were live before. */
  expire (nowMs: number): PeerState[] {
    const expired = [...this.listLive()].filter(peer => nowMs - peer.lastHeardAtMs > PEER_TIMEOUT_MS)
    for (const peer of expired) peer.isTimedOut = true
    return expired
  }

  addChange (service: string, account: string): void {
    for (const peer of this.#peers.values()) {
      const accounts = peer.changedAccounts.get(service)
      if (accounts) accounts.add(account)
      else peer.changedAccounts.set(service, new Set([account]))
    }
  }

  #addPeer (nowMs: number, zone: string, instance: string, term: number): PeerState {
    const peer: PeerState = {
      zone,
      instance,
      term,
      peerSession: 0,
      ownSession: 1,
      lastHeardAtMs: nowMs,
      lastSentAtMs: -Infinity,
      isTimedOut: false,
      needsFullReport: true,
      hasSentFullReport: false,
      lastLendId: 0,
      nextLendId: 1,
      lentSlots: new Map(),
      reporter: this.#createReporter(),
      changedAccounts: new Map()
    }
    this.#peers.set(zone, peer)
    return peer
  }
}
