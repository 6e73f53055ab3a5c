import type { LogEntry } from '../../contract/LogEntry'
import type { LogMembers } from '../../contract/LogMembers'
import type { ReplicaMessage } from '../../contract/ReplicaMessage'
import { createLogStatus } from '../_lib/createLogStatus'
import { ElectionBackoff } from '../_lib/ElectionBackoff'
import { EntryReceiver } from '../_lib/EntryReceiver'
import { ClusterFormation } from '../_lib/ClusterFormation'
import { hasQuorum } from '../_lib/hasQuorum'
import { LeaderState } from '../_lib/LeaderState'
import { ReplicaData } from '../_lib/ReplicaData'
import { timing } from '../_lib/timing'
import type { LogStatus } from '../LogStatus'
import type { ReplicaCoreOptions } from '../ReplicaCoreOptions'
import type { ReplicaEffect } from '../ReplicaEffect'
import type { ReplicaRole } from '../ReplicaRole'
import type { RoleChangeReason } from '../RoleChangeReason'

/** Factor from the sync time of a candidate's own vote to that allowed for the other voters, whose disks may be slower. */
const PEER_SYNC_FACTOR = 2

type Effects = Generator<ReplicaEffect, void>
type Message<T extends ReplicaMessage['type']> = Extract<ReplicaMessage, { type: T }>

/**
 * @name ReplicaCore
 * @category Log
 * @summary Consensus logic of one replica of a log group, without I/O.
 *
 * @description
 * Covers terms, elections with pre-vote, check-quorum, replication, commits, confirmed reads, learners and membership
 * changes. Each step takes the monotonic time in milliseconds and yields effects, which the owner runs in order. A step
 * must run to its end before the next one begins.
 *
 * @param options - State loaded from the disk, peers, source of random numbers.
 *
 * @example
 * for (const effect of core.step(message, performance.now())) await run(effect)
 */
export class ReplicaCore {
  readonly #options: ReplicaCoreOptions
  readonly #data: ReplicaData
  readonly #receiver: EntryReceiver
  readonly #formation: ClusterFormation
  #role: ReplicaRole = 'follower'
  #leader: string | undefined
  #leaderState: LeaderState | undefined
  #votes = new Set<string>()
  #electionDueMs: number
  #lastLeaderContactMs = -Infinity
  readonly #backoff: ElectionBackoff
  /** Time at which this replica last held everything that its leader had committed. */
  #lastCaughtUpMs = -Infinity

  constructor (options: ReplicaCoreOptions) {
    this.#options = options
    this.#data = new ReplicaData(options)
    this.#receiver = new EntryReceiver(this.#data)
    this.#formation = new ClusterFormation(this.#data, options)
    this.#backoff = new ElectionBackoff(options.random)
    this.#electionDueMs = options.nowMs + this.#backoff.computeTimeout()
  }

  get id (): string { return this.#data.id }
  get role (): ReplicaRole { return this.#role }
  get term (): number { return this.#data.term }
  /** Id of the leader, if known. */
  get leader (): string | undefined { return this.#leader }
  get commitOffset (): number { return this.#data.commitOffset }
  get baseOffset (): number { return this.#data.log.baseOffset }
  get lastOffset (): number { return this.#data.log.lastOffset }

  /** Monotonic time at which `tick` is due. */
  get nextTickMs (): number {
    if (this.#leaderState) return this.#leaderState.nextHeartbeatMs
    return Math.min(this.#electionDueMs, this.#formation.nextProbeMs)
  }

  /** Adds instances to probe for a leader. */
  addPeers (instances: readonly string[]): void {
    this.#formation.addPeers(instances)
  }

  getEntry (offset: number): LogEntry | undefined {
    return this.#data.log.get(offset)
  }

  getTerm (offset: number): number | undefined {
    return this.#data.log.getTerm(offset)
  }

  getMembersAt (offset: number): LogMembers | undefined {
    return this.#data.log.getMembersAt(offset)
  }

  getStatus (): LogStatus {
    return createLogStatus(this.#data, { role: this.#role, leader: this.#leader, leaderState: this.#leaderState })
  }

  * tick (nowMs: number): Effects {
    if (this.#leaderState) {
      this.#backoff.recordLeader(this.#data.term, nowMs)
      if (!this.#leaderState.hasRecentQuorum(nowMs, this.#backoff.maxTimeoutMs)) return yield * this.#stepDown(undefined, 'quorum-lost', nowMs)
      if (nowMs >= this.#leaderState.nextHeartbeatMs) yield * this.#leaderState.sendHeartbeats(nowMs)
      return
    }
    yield * this.#formation.tick(nowMs, this.#lastLeaderContactMs)
    if (this.#isSoleVoter() || nowMs >= this.#electionDueMs) yield * this.#startPreVote(nowMs)
  }

  * step (message: ReplicaMessage, nowMs: number): Effects {
    if (message.to !== this.#data.id && !(message.type === 'probe' && message.to === this.#data.instance)) return
    const { clusterId } = this.#data
    if (clusterId && message.clusterId && clusterId !== message.clusterId) return
    switch (message.type) {
      case 'preVote': return yield * this.#handlePreVote(message, nowMs)
      case 'vote': return yield * this.#handleVote(message, nowMs)
      case 'preVoteReply':
      case 'voteReply': return yield * this.#handleVoteReply(message, nowMs)
      case 'append':
      case 'installSnapshot': return yield * this.#handleLeaderMessage(message, nowMs)
      case 'appendReply': return yield * this.#handleAppendReply(message, nowMs)
      case 'probe': {
        yield * this.#formation.handleProbe(message)
        if (this.#leaderState && clusterId) yield * this.#leaderState.addLearner(message.from)
        return
      }
      case 'probeReply': return yield * this.#formation.handleProbeReply(message)
      case 'genesis': return yield * this.#formation.handleGenesis(message)
    }
  }

  /** Appends commands. Returns the offset of the first one, or undefined if this replica is not the leader. */
  * propose (commands: readonly Uint8Array[]): Generator<ReplicaEffect, number | undefined> {
    if (!this.#leaderState) return undefined
    const offset = this.#data.log.lastOffset + 1
    yield * this.#leaderState.append(commands.map(command => ({ command })))
    return offset
  }

  /** Confirms leadership and yields `readReady` with the offset up to which to apply entries first, or `readFailed`. */
  * confirmRead (id: number, nowMs: number): Effects {
    if (this.#leaderState) yield * this.#leaderState.confirmRead(id, nowMs)
    else yield { type: 'readFailed', id }
  }

  /** Called by the owner when all appends up to a sequence number are durable. */
  * handleSynced (sequence: number): Effects {
    this.#data.syncs.handleSynced(sequence)
    if (this.#leaderState) yield * this.#leaderState.handleSynced()
    else if (this.#leader) yield this.#receiver.createAcceptance(this.#leader)
  }

  /** Removes from memory the entries that a saved snapshot replaces. */
  * truncateThrough (offset: number): Effects {
    this.#data.log.truncateThrough(Math.min(offset, this.#data.commitOffset))
  }

  /**
   * Milliseconds since this replica was last up to date: as a leader with a majority, or as a follower that held
   * everything that its leader had committed.
   */
  computeAgeMs (nowMs: number): number {
    return this.#leaderState?.hasRecentQuorum(nowMs) ? 0 : nowMs - this.#lastCaughtUpMs
  }

  /**
   * Postpones the next election according to how long a vote took to become durable. On slow disks each candidate would
   * otherwise time out before the votes are durable, and no election would ever succeed.
   */
  recordVoteSync (durationMs: number, nowMs: number): void {
    const peerSyncMs = PEER_SYNC_FACTOR * Math.min(durationMs, timing.maxVoteSyncMs)
    this.#electionDueMs = Math.max(this.#electionDueMs, nowMs + peerSyncMs + this.#backoff.computeTimeout())
  }

  #isSoleVoter (): boolean {
    return this.#data.isVoter() && this.#data.listOtherMembers('voters').length === 0
  }

  #hasLiveLeader (nowMs: number): boolean {
    return this.#leaderState !== undefined || nowMs - this.#lastLeaderContactMs < timing.minElectionTimeoutMs
  }

  * #startPreVote (nowMs: number): Effects {
    this.#electionDueMs = nowMs + this.#backoff.computeTimeout()
    // The initial members must be durable before a leader sends them. If a crash lost them, this replica would form a
    // second cluster.
    if (!this.#data.isVoter() || this.#data.syncs.syncedOffset === 0) return
    yield * this.#setRole('preCandidate', undefined, 'election-timeout')
    this.#votes = new Set([this.#data.id])
    if (hasQuorum(this.#data.voterSets, id => this.#votes.has(id))) return yield * this.#startElection(nowMs)
    const { lastOffset, lastTerm } = this.#data.log
    for (const id of this.#data.listOtherMembers('voters')) {
      yield this.#data.createSendEffect(id, { type: 'preVote', term: this.#data.term + 1, lastOffset, lastTerm })
    }
  }

  * #startElection (nowMs: number): Effects {
    this.#electionDueMs = nowMs + this.#backoff.computeTimeout()
    this.#data.term++
    this.#data.votedFor = this.#data.id
    this.#receiver.reset()
    yield this.#data.createSaveVoteEffect()
    yield * this.#setRole('candidate', undefined, 'pre-vote-won')
    this.#votes = new Set([this.#data.id])
    if (hasQuorum(this.#data.voterSets, id => this.#votes.has(id))) return yield * this.#startLeading(nowMs)
    const { lastOffset, lastTerm } = this.#data.log
    for (const id of this.#data.listOtherMembers('voters')) yield this.#data.createSendEffect(id, { type: 'vote', lastOffset, lastTerm })
  }

  * #startLeading (nowMs: number): Effects {
    this.#leaderState = new LeaderState(this.#data, nowMs, this.#options.maxVoters)
    yield * this.#setRole('leader', this.#data.id, 'vote-won')
    yield * this.#leaderState.append([{}])
    yield * this.#leaderState.sendHeartbeats(nowMs)
  }

  * #setRole (role: ReplicaRole, leader: string | undefined, reason: RoleChangeReason): Effects {
    const isChanged = role !== this.#role || leader !== this.#leader
    this.#role = role
    this.#leader = leader
    if (isChanged) yield { type: 'roleChanged', role, term: this.#data.term, leader, reason }
  }

  /** Becomes a follower without changing the term. */
  * #stepDown (leader: string | undefined, reason: RoleChangeReason, nowMs: number): Effects {
    const leaderState = this.#leaderState
    this.#leaderState = undefined
    this.#electionDueMs = nowMs + this.#backoff.computeTimeout()
    if (leaderState) yield * leaderState.refuseReads()
    yield * this.#setRole('follower', leader, reason)
  }

  * #acceptTerm (term: number, votedFor: string | undefined, leader: string | undefined, nowMs: number): Effects {
    this.#data.term = term
    this.#data.votedFor = votedFor ?? null
    this.#receiver.reset()
    yield this.#data.createSaveVoteEffect()
    yield * this.#stepDown(leader, 'higher-term', nowMs)
  }

  #isLogUpToDate (message: { lastOffset: number, lastTerm: number }): boolean {
    const { lastOffset, lastTerm } = this.#data.log
    return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastOffset >= lastOffset)
  }

  * #handlePreVote (message: Message<'preVote'>, nowMs: number): Effects {
    const isGranted = message.term > this.#data.term && this.#isLogUpToDate(message) && !this.#hasLiveLeader(nowMs)
    yield this.#data.createSendEffect(message.from, { type: 'preVoteReply', isGranted, term: isGranted ? message.term : this.#data.term })
  }

  * #handleVote (message: Message<'vote'>, nowMs: number): Effects {
    const isNewTerm = message.term > this.#data.term && !this.#hasLiveLeader(nowMs)
    const { term, votedFor } = isNewTerm ? { term: message.term, votedFor: null } : this.#data
    const isVoteAvailable = votedFor === null || votedFor === message.from
    const isGranted = message.term === term && isVoteAvailable && this.#isLogUpToDate(message)
    if (isNewTerm) yield * this.#acceptTerm(term, isGranted ? message.from : undefined, undefined, nowMs)
    else if (isGranted && votedFor === null) {
      this.#data.votedFor = message.from
      yield this.#data.createSaveVoteEffect()
    }
    if (isGranted) this.#electionDueMs = nowMs + this.#backoff.computeTimeout()
    yield this.#data.createSendEffect(message.from, { type: 'voteReply', isGranted })
  }

  * #handleVoteReply (message: Message<'preVoteReply' | 'voteReply'>, nowMs: number): Effects {
    const isPreVote = message.type === 'preVoteReply'
    if (!message.isGranted) {
      if (message.term > this.#data.term) yield * this.#acceptTerm(message.term, undefined, undefined, nowMs)
      return
    }
    const isExpected = isPreVote
      ? this.#role === 'preCandidate' && message.term === this.#data.term + 1
      : this.#role === 'candidate' && message.term === this.#data.term
    if (!isExpected) return
    this.#votes.add(message.from)
    if (!hasQuorum(this.#data.voterSets, id => this.#votes.has(id))) return
    yield * isPreVote ? this.#startElection(nowMs) : this.#startLeading(nowMs)
  }

  * #handleLeaderMessage (message: Message<'append' | 'installSnapshot'>, nowMs: number): Effects {
    if (message.term < this.#data.term) {
      yield this.#receiver.createRefusal(message.from)
      return
    }
    if (message.term > this.#data.term) yield * this.#acceptTerm(message.term, message.from, message.from, nowMs)
    if (this.#leader !== message.from) yield * this.#stepDown(message.from, 'leader-found', nowMs)
    this.#lastLeaderContactMs = nowMs
    this.#backoff.recordLeader(this.#data.term, nowMs)
    this.#electionDueMs = nowMs + this.#backoff.computeTimeout()
    if (message.type === 'append') yield * this.#receiver.handleAppend(message)
    else yield * this.#receiver.handleSnapshot(message)
    if (message.type === 'append' && this.#data.commitOffset >= message.commitOffset) this.#lastCaughtUpMs = nowMs
  }

  * #handleAppendReply (message: Message<'appendReply'>, nowMs: number): Effects {
    if (message.term > this.#data.term) return yield * this.#acceptTerm(message.term, undefined, undefined, nowMs)
    if (message.term === this.#data.term && this.#leaderState) yield * this.#leaderState.handleReply(message, nowMs)
  }
}
