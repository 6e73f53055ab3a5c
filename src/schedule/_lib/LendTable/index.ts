import type { PeerMessage } from '../../PeerMessage'
import type { PeerOperation } from '../../PeerOperation'
import type { SchedulerEffect } from '../../SchedulerEffect'
import type { LentRecord } from '../LentRecord'
import { AccountReporter } from '../AccountReporter'
import { PeerRegistry } from '../PeerRegistry'
import type { PeerState } from '../PeerState'
import type { PoolSet } from '../PoolSet'

/** Slots lent to a zone that is not heard for this long are reclaimed. It exceeds the silence after which the other zone refuses late lends. */
const LEASE_MS = 2_000
const PEER_HEARTBEAT_MS = 400

interface NewLend {
  zone: string
  account: string
  target: string
  charge: number
}

interface ReceivedLend {
  zone: string
  id: number
  service: string
  account: string
  target: string
}

/** Exchange with the schedulers of other zones: totals, backlogs, and slots lent in both directions. */
export class LendTable {
  readonly #term: number
  readonly #pools: PoolSet
  readonly #peers: PeerRegistry
  /** Accounts that the peers know to be backlogged here. */
  readonly #announced = new Set<string>()
  #effects: SchedulerEffect[] = []
  #received: ReceivedLend[] = []

  constructor (options: { term: number, pools: PoolSet }) {
    this.#pools = options.pools
    this.#peers = new PeerRegistry(() => new AccountReporter(options.pools))
    this.#term = options.term
  }

  takeEffects (): SchedulerEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  /** Slots that peers lent and that were not given to a router yet. */
  takeReceived (): ReceivedLend[] {
    const received = this.#received
    this.#received = []
    return received
  }

  getHead (zone: string): Omit<PeerMessage, 'operations'> {
    const peer = this.#peers.get(zone)
    return { term: this.#term, session: peer?.ownSession ?? 1, echoedSession: peer?.session ?? 0, lastLendId: peer?.lastLendId ?? 0 }
  }

  isLive (zone: string): boolean {
    return this.#peers.isLive(zone)
  }

  handlePeer (nowMs: number, zone: string, instance: string, message: PeerMessage): { isFull: boolean, needsFullReport: boolean } {
    const peer = this.#peers.observe(nowMs, zone, instance, message)
    if (!peer) return { isFull: false, needsFullReport: false }
    // Lend ids continue after those that the peer still holds from an earlier scheduler of this zone.
    const isFull = message.operations.some(operation => operation.type === 'full')
    if (isFull) this.#clearStale(nowMs, peer, message)
    peer.isReported ||= isFull
    for (const operation of message.operations) this.#handleOperation(nowMs, peer, message, operation)
    return { isFull, needsFullReport: peer.needsFullReport }
  }

  lend (nowMs: number, service: string, lend: NewLend): void {
    const peer = this.#peers.get(lend.zone)!
    const id = peer.nextLendId++
    this.#addLent(nowMs, peer, { id, zone: lend.zone, service, account: lend.account, target: lend.target, charged: lend.charge })
    this.#pools.get(service).updateRemote(lend.account, lend.zone, entry => entry.addGrant(id))
    this.#send(lend.zone, { type: 'lend', id, service, account: lend.account, target: lend.target })
  }

  refuse (zone: string, id: number): void {
    this.#send(zone, { type: 'lendDeclined', id })
  }

  reportProgress (lentBy: { zone: string, id: number }, cost: number): void {
    this.#send(lentBy.zone, { type: 'lendProgress', id: lentBy.id, cost })
  }

  releaseLent (lentBy: { zone: string, id: number }, cost: number, isHealthy: boolean): void {
    this.#send(lentBy.zone, { type: 'lendReturned', id: lentBy.id, cost, isHealthy })
  }

  /** Tells the peers at once about accounts that became backlogged here. */
  notifyPeers (): void {
    for (const [service, accounts] of this.#pools.takeChangedAccounts()) {
      for (const account of accounts) {
        this.#peers.addChange(service, account)
        this.#notifyAccount(service, account)
      }
    }
  }

  /** Most accounts that changed since the last exchange with a peer. */
  countChanges (): number {
    let most = 0
    for (const peer of this.#peers.listLive()) {
      let count = 0
      for (const accounts of peer.changed.values()) count += accounts.size
      most = Math.max(most, count)
    }
    return most
  }

  /** Sends what changed since the last exchange, or everything to a peer that needs it. */
  sendChanges (nowMs: number, listHeld: () => Array<ReceivedLend & { cost: number }>): void {
    for (const peer of this.#peers.list()) {
      const before = this.#effects.length
      if (peer.needsFullReport && !peer.isSilent) this.#sendFullReport(peer, listHeld())
      for (const [service, accounts] of peer.changed) {
        for (const account of accounts) this.#sendAccount(peer, service, account)
      }
      peer.changed.clear()
      const isHeartbeatDue = nowMs - peer.lastSentAtMs >= PEER_HEARTBEAT_MS
      if (this.#effects.length === before && !isHeartbeatDue) continue
      if (this.#effects.length === before) this.#effects.push({ type: 'peer', zone: peer.zone })
      peer.lastSentAtMs = nowMs
    }
  }

  /** Leaves out silent peers and reclaims what was lent to them. */
  expire (nowMs: number): void {
    for (const peer of this.#peers.expire(nowMs)) {
      for (const [service, pool] of this.#pools.listEntries()) {
        for (const account of pool.removeZone(peer.zone)) this.#pools.addChange(service, account)
      }
    }
    for (const peer of this.#peers.list()) {
      if (nowMs - peer.lastHeardAtMs > LEASE_MS) this.#revoke(nowMs, peer, () => true)
    }
  }

  #handleOperation (nowMs: number, peer: PeerState, message: PeerMessage, operation: PeerOperation): void {
    switch (operation.type) {
      case 'account': return this.#mergeAccount(peer, message.lastLendId, operation)
      case 'usage': return this.#mergeUsage(peer, message.lastLendId, operation)
      case 'copy': return this.#pools.mergeLedger([{ ...operation, zone: this.#pools.zone, lift: 0 }])
      case 'held': return this.#restoreLent(nowMs, peer, operation)
      case 'lend': return this.#acceptLend(peer, message.echoedSession, operation)
      case 'lendDeclined': return this.#handleDeclined(nowMs, peer, operation.id)
      case 'lendProgress': return this.#handleProgress(peer, operation)
      case 'lendReturned': return this.#handleReturned(nowMs, peer, operation)
    }
  }

  #mergeAccount (peer: PeerState, lastLendId: number, copy: Extract<PeerOperation, { type: 'account' }>): void {
    if (!peer.isReported) return
    const { service, account, total, outstanding, waiting, lift, estimate } = copy
    const pool = this.#pools.get(service)
    pool.ledger.merge(account, { zone: peer.zone, total, outstanding, lift })
    pool.updateRemote(account, peer.zone, entry => {
      entry.estimate = estimate ?? entry.estimate
      entry.report(waiting, lastLendId)
    })
    this.#pools.addServiceChange(service)
  }

  #mergeUsage (peer: PeerState, lastLendId: number, usage: Extract<PeerOperation, { type: 'usage' }>): void {
    if (!peer.isReported) return
    const { service, account, outstanding, waiting } = usage
    const pool = this.#pools.get(service)
    pool.ledger.merge(account, { zone: peer.zone, total: 0, lift: 0, outstanding })
    pool.updateRemote(account, peer.zone, entry => entry.report(waiting, lastLendId))
    this.#pools.addServiceChange(service)
  }

  #acceptLend (peer: PeerState, echoedSession: number, lend: Extract<PeerOperation, { type: 'lend' }>): void {
    peer.lastLendId = Math.max(peer.lastLendId, lend.id)
    if (echoedSession !== peer.ownSession) return this.refuse(peer.zone, lend.id)
    const { id, service, account, target } = lend
    this.#received.push({ zone: peer.zone, id, service, account, target })
  }

  #handleDeclined (nowMs: number, peer: PeerState, id: number): void {
    const record = takeLent(peer, id)
    if (!record) return
    this.#pools.get(record.service).targets.release(record.target, nowMs)
    this.#pools.charge(record.service, record.account, -record.charged)
    // The zone had no request for it; its next report corrects the count.
    this.#pools.get(record.service).updateRemote(record.account, peer.zone, entry => entry.report(0, id))
  }

  #handleProgress (peer: PeerState, progress: { id: number, cost: number }): void {
    const record = peer.lent.get(progress.id)
    if (!record) return
    this.#pools.charge(record.service, record.account, progress.cost - record.charged)
    record.charged = progress.cost
  }

  #handleReturned (nowMs: number, peer: PeerState, result: { id: number, cost: number, isHealthy: boolean }): void {
    const record = takeLent(peer, result.id)
    if (!record) return
    if (result.isHealthy) this.#pools.get(record.service).estimator.observe(record.account, { cost: result.cost })
    this.#pools.get(record.service).targets.release(record.target, nowMs, result.isHealthy)
    this.#pools.settle(record.service, record.account, { charged: record.charged, cost: result.cost })
  }

  /** The report is complete: what it doesn't mention is no longer queued there or no longer in use. */
  #clearStale (nowMs: number, peer: PeerState, message: PeerMessage): void {
    for (const [service, pool] of this.#pools.listEntries()) {
      for (const account of pool.removeZone(peer.zone)) this.#pools.addChange(service, account)
    }
    const held = new Set(message.operations.map(operation => operation.type === 'held' ? operation.id : 0))
    // A scheduler that is new in its zone does not know what was lent to its predecessor.
    this.#revoke(nowMs, peer, id => (!peer.isReported || id <= message.lastLendId) && !held.has(id))
  }

  #revoke (nowMs: number, peer: PeerState, isLost: (id: number) => boolean): void {
    for (const { id, charged } of [...peer.lent.values()]) {
      if (isLost(id)) this.#handleReturned(nowMs, peer, { id, cost: charged, isHealthy: true })
    }
  }

  #restoreLent (nowMs: number, peer: PeerState, held: Extract<PeerOperation, { type: 'held' }>): void {
    if (peer.lent.has(held.id)) return
    peer.nextLendId = Math.max(peer.nextLendId, held.id + 1)
    const { id, service, account, target, cost } = held
    this.#addLent(nowMs, peer, { id, zone: peer.zone, service, account, target, charged: cost })
  }

  #addLent (nowMs: number, peer: PeerState, record: LentRecord): void {
    peer.lent.set(record.id, record)
    this.#pools.get(record.service).targets.take(record.target, nowMs)
    this.#pools.charge(record.service, record.account, record.charged)
  }

  #notifyAccount (service: string, account: string): void {
    const key = `${service}/${account}`
    const isBacklogged = this.#pools.get(service).countLocal(account) > 0
    if (isBacklogged === this.#announced.has(key)) return
    if (isBacklogged) this.#announced.add(key)
    else this.#announced.delete(key)
    // A peer that lends to an account that is idle by now is refused, which costs less than a message for each end.
    if (!isBacklogged) return
    for (const peer of this.#peers.listLive()) {
      this.#sendAccount(peer, service, account)
      peer.changed.get(service)?.delete(account)
    }
  }

  #sendFullReport (peer: PeerState, held: Array<ReceivedLend & { cost: number }>): void {
    peer.needsFullReport = false
    peer.changed.clear()
    peer.reporter.clear()
    this.#send(peer.zone, { type: 'full' })
    for (const [service, pool] of this.#pools.listEntries()) {
      for (const account of pool.listAccounts()) {
        this.#send(peer.zone, { type: 'copy', service, account, total: pool.ledger.getCopy(account, peer.zone).total })
        this.#sendAccount(peer, service, account)
      }
    }
    for (const { zone, ...lend } of held) {
      if (zone === peer.zone) this.#send(zone, { type: 'held', ...lend })
    }
  }

  #sendAccount (peer: PeerState, service: string, account: string): void {
    const operation = peer.reporter.createOperation(service, account)
    if (operation) this.#send(peer.zone, operation)
  }

  #send (zone: string, operation: PeerOperation): void {
    this.#effects.push({ type: 'peer', zone, operation })
  }
}

function takeLent (peer: PeerState, id: number): LentRecord | undefined {
  const record = peer.lent.get(id)
  peer.lent.delete(id)
  return record
}
