import type { PeerMessage } from '../../PeerMessage'
import type { PeerOperation } from '../../PeerOperation'
import type { SchedulerEffect } from '../../SchedulerEffect'
import type { LentRecord } from '../LentRecord'
import { AccountReporter } from '../AccountReporter'
import { PeerRegistry } from '../PeerRegistry'
import type { PeerState } from '../PeerState'
import type { PoolSet } from '../PoolSet'

/**
 * Slots lent to a zone are reclaimed when no message from the zone has arrived for this long. The lease exceeds
 * PEER_TIMEOUT_MS of PeerRegistry, after which the other zone refuses slots that were lent before the interruption.
 */
const LEND_LEASE_MS = 2_000
const PEER_HEARTBEAT_INTERVAL_MS = 400

/** A slot of this zone that is to be lent to another zone. */
interface NewLend {
  zone: string
  account: string
  target: string
  charge: number
}

/** A slot that another zone lent. */
interface ReceivedLend {
  zone: string
  id: number
  service: string
  account: string
  target: string
}

/** Exchanges totals and backlogs with the schedulers of other zones and records the slots lent in both directions. */
export class LendTable {
  readonly #term: number
  readonly #pools: PoolSet
  readonly #peers: PeerRegistry
  /** Backlogs in this zone that were announced to the peers, as `service/account`. */
  readonly #announcedBacklogs = new Set<string>()
  #effects: SchedulerEffect[] = []
  #receivedLends: ReceivedLend[] = []

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

  /** Removes and returns the slots that peers lent and that have not been granted to a router yet. */
  takeReceivedLends (): ReceivedLend[] {
    const received = this.#receivedLends
    this.#receivedLends = []
    return received
  }

  getMessageHeader (zone: string): Omit<PeerMessage, 'operations'> {
    const peer = this.#peers.get(zone)
    return { term: this.#term, session: peer?.ownSession ?? 1, echoedSession: peer?.peerSession ?? 0, lastLendId: peer?.lastLendId ?? 0 }
  }

  isLive (zone: string): boolean {
    return this.#peers.isLive(zone)
  }

  handlePeerMessage (nowMs: number, zone: string, instance: string, message: PeerMessage): { isFullReport: boolean, needsFullReport: boolean } {
    const peer = this.#peers.observeHeader(nowMs, zone, instance, message)
    if (!peer) return { isFullReport: false, needsFullReport: false }
    const isFullReport = message.operations.some(operation => operation.type === 'full')
    if (isFullReport) this.#resetForFullReport(nowMs, peer, message)
    peer.hasSentFullReport ||= isFullReport
    for (const operation of message.operations) this.#handleOperation(nowMs, peer, message, operation)
    return { isFullReport, needsFullReport: peer.needsFullReport }
  }

  lend (nowMs: number, service: string, lend: NewLend): void {
    const peer = this.#peers.get(lend.zone)!
    const id = peer.nextLendId++
    this.#addLent(nowMs, peer, { id, zone: lend.zone, service, account: lend.account, target: lend.target, charged: lend.charge })
    this.#pools.get(service).updateRemoteBacklog(lend.account, lend.zone, entry => entry.addGrant(id))
    this.#send(lend.zone, { type: 'lend', id, service, account: lend.account, target: lend.target })
  }

  refuseLend (zone: string, id: number): void {
    this.#send(zone, { type: 'lendDeclined', id })
  }

  reportProgress (lentBy: { zone: string, id: number }, cost: number): void {
    this.#send(lentBy.zone, { type: 'lendProgress', id: lentBy.id, cost })
  }

  releaseBorrowedSlot (lentBy: { zone: string, id: number }, cost: number, isHealthy: boolean): void {
    this.#send(lentBy.zone, { type: 'lendReturned', id: lentBy.id, cost, isHealthy })
  }

  /** Notifies peers at once of accounts that became backlogged here, and records all changes for the next exchange. */
  notifyPeers (): void {
    for (const [service, accounts] of this.#pools.takeChangedAccounts()) {
      for (const account of accounts) {
        this.#peers.addChange(service, account)
        this.#notifyAccount(service, account)
      }
    }
  }

  /** Number of accounts that changed since the last exchange, for the live peer with the most changes. */
  countChangedAccounts (): number {
    let highest = 0
    for (const peer of this.#peers.listLive()) {
      let count = 0
      for (const accounts of peer.changedAccounts.values()) count += accounts.size
      highest = Math.max(highest, count)
    }
    return highest
  }

  /** Sends the changes since the last exchange, a full report to each peer that needs one, and heartbeats when due. */
  sendChanges (nowMs: number, listBorrowed: () => Array<ReceivedLend & { cost: number }>): void {
    for (const peer of this.#peers.list()) {
      const countBefore = this.#effects.length
      if (peer.needsFullReport && !peer.isTimedOut) this.#sendFullReport(peer, listBorrowed())
      for (const [service, accounts] of peer.changedAccounts) {
        for (const account of accounts) this.#sendAccount(peer, service, account)
      }
      peer.changedAccounts.clear()
      const isHeartbeatDue = nowMs - peer.lastSentAtMs >= PEER_HEARTBEAT_INTERVAL_MS
      if (this.#effects.length === countBefore && !isHeartbeatDue) continue
      if (this.#effects.length === countBefore) this.#effects.push({ type: 'peer', zone: peer.zone })
      peer.lastSentAtMs = nowMs
    }
  }

  /** Removes the backlogs and outstanding cost of peers that timed out, and reclaims slots whose lease has ended. */
  expire (nowMs: number): void {
    for (const peer of this.#peers.expire(nowMs)) {
      for (const [service, pool] of this.#pools.listEntries()) {
        for (const account of pool.removeZone(peer.zone)) this.#pools.addChange(service, account)
      }
    }
    for (const peer of this.#peers.list()) {
      if (nowMs - peer.lastHeardAtMs > LEND_LEASE_MS) this.#revokeLends(nowMs, peer, () => true)
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

  #mergeAccount (peer: PeerState, lastLendId: number, update: Extract<PeerOperation, { type: 'account' }>): void {
    if (!peer.hasSentFullReport) return
    const { service, account, total, outstanding, waiting, lift, estimate } = update
    const pool = this.#pools.get(service)
    pool.ledger.merge(account, { zone: peer.zone, total, outstanding, lift })
    pool.updateRemoteBacklog(account, peer.zone, entry => {
      entry.estimate = estimate ?? entry.estimate
      entry.setReported(waiting, lastLendId)
    })
    this.#pools.addServiceChange(service)
  }

  #mergeUsage (peer: PeerState, lastLendId: number, usage: Extract<PeerOperation, { type: 'usage' }>): void {
    if (!peer.hasSentFullReport) return
    const { service, account, outstanding, waiting } = usage
    const pool = this.#pools.get(service)
    pool.ledger.merge(account, { zone: peer.zone, total: 0, lift: 0, outstanding })
    pool.updateRemoteBacklog(account, peer.zone, entry => entry.setReported(waiting, lastLendId))
    this.#pools.addServiceChange(service)
  }

  #acceptLend (peer: PeerState, echoedSession: number, lend: Extract<PeerOperation, { type: 'lend' }>): void {
    peer.lastLendId = Math.max(peer.lastLendId, lend.id)
    if (echoedSession !== peer.ownSession) return this.refuseLend(peer.zone, lend.id)
    const { id, service, account, target } = lend
    this.#receivedLends.push({ zone: peer.zone, id, service, account, target })
  }

  #handleDeclined (nowMs: number, peer: PeerState, id: number): void {
    const record = takeLentRecord(peer, id)
    if (!record) return
    this.#pools.get(record.service).targets.release(record.target, nowMs)
    this.#pools.charge(record.service, record.account, -record.charged)
    // Assumes that no request of the account waits in that zone. If the zone refused for another reason, for example
    // because the session had ended, its next report corrects the number of waiting requests.
    this.#pools.get(record.service).updateRemoteBacklog(record.account, peer.zone, entry => entry.setReported(0, id))
  }

  #handleProgress (peer: PeerState, progress: { id: number, cost: number }): void {
    const record = peer.lentSlots.get(progress.id)
    if (!record) return
    this.#pools.charge(record.service, record.account, progress.cost - record.charged)
    record.charged = progress.cost
  }

  #handleReturned (nowMs: number, peer: PeerState, result: { id: number, cost: number, isHealthy: boolean }): void {
    const record = takeLentRecord(peer, result.id)
    if (!record) return
    if (result.isHealthy) this.#pools.get(record.service).estimator.observe(record.account, { cost: result.cost })
    this.#pools.get(record.service).targets.release(record.target, nowMs, result.isHealthy)
    this.#pools.settle(record.service, record.account, { charged: record.charged, cost: result.cost })
  }

  /**
   * Prepares for a full report: clears the backlogs and outstanding cost of the zone, which the report then sets again,
   * and releases the lent slots that it does not list as held.
   */
  #resetForFullReport (nowMs: number, peer: PeerState, message: PeerMessage): void {
    for (const [service, pool] of this.#pools.listEntries()) {
      for (const account of pool.removeZone(peer.zone)) this.#pools.addChange(service, account)
    }
    const held = new Set(message.operations.map(operation => operation.type === 'held' ? operation.id : 0))
    // A slot that the report does not list is no longer in use, unless the peer sent the report before it received the
    // slot (id > lastLendId). A new scheduler of the zone has not received the slots that were lent to its predecessor,
    // so its first full report releases every slot that it does not list, whatever the id.
    this.#revokeLends(nowMs, peer, id => (!peer.hasSentFullReport || id <= message.lastLendId) && !held.has(id))
  }

  #revokeLends (nowMs: number, peer: PeerState, isStale: (id: number) => boolean): void {
    for (const { id, charged } of [...peer.lentSlots.values()]) {
      if (isStale(id)) this.#handleReturned(nowMs, peer, { id, cost: charged, isHealthy: true })
    }
  }

  #restoreLent (nowMs: number, peer: PeerState, held: Extract<PeerOperation, { type: 'held' }>): void {
    if (peer.lentSlots.has(held.id)) return
    // Ids of new loans continue after those of the slots that an earlier scheduler of this zone lent to the peer.
    peer.nextLendId = Math.max(peer.nextLendId, held.id + 1)
    const { id, service, account, target, cost } = held
    this.#addLent(nowMs, peer, { id, zone: peer.zone, service, account, target, charged: cost })
  }

  #addLent (nowMs: number, peer: PeerState, record: LentRecord): void {
    peer.lentSlots.set(record.id, record)
    this.#pools.get(record.service).targets.take(record.target, nowMs)
    this.#pools.charge(record.service, record.account, record.charged)
  }

  #notifyAccount (service: string, account: string): void {
    const key = `${service}/${account}`
    const isBacklogged = this.#pools.get(service).countLocalWaiting(account) > 0
    if (isBacklogged === this.#announcedBacklogs.has(key)) return
    if (isBacklogged) this.#announcedBacklogs.add(key)
    else this.#announcedBacklogs.delete(key)
    // The end of a backlog is sent only with the next exchange: refusing a lent slot for an idle account costs less than
    // an extra message for each end.
    if (!isBacklogged) return
    for (const peer of this.#peers.listLive()) {
      this.#sendAccount(peer, service, account)
      peer.changedAccounts.get(service)?.delete(account)
    }
  }

  #sendFullReport (peer: PeerState, borrowed: Array<ReceivedLend & { cost: number }>): void {
    peer.needsFullReport = false
    peer.changedAccounts.clear()
    peer.reporter.clear()
    this.#send(peer.zone, { type: 'full' })
    for (const [service, pool] of this.#pools.listEntries()) {
      for (const account of pool.listAccounts()) {
        this.#send(peer.zone, { type: 'copy', service, account, total: pool.ledger.getEntry(account, peer.zone).total })
        this.#sendAccount(peer, service, account)
      }
    }
    for (const { zone, ...lend } of borrowed) {
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

function takeLentRecord (peer: PeerState, id: number): LentRecord | undefined {
  const record = peer.lentSlots.get(id)
  peer.lentSlots.delete(id)
  return record
}
