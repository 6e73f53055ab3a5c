import type { LogEntry } from '../../contract/LogEntry'
import type { LogMembers } from '../../contract/LogMembers'
import type { ReplicaMessage } from '../../contract/ReplicaMessage'
import { createLogStatus } from '../_lib/createLogStatus'
import { EntryReceiver } from '../_lib/EntryReceiver'
import { Formation } from '../_lib/Formation'
import { hasQuorum } from '../_lib/hasQuorum'
import { LeaderState } from '../_lib/LeaderState'
import { ReplicaData } from '../_lib/ReplicaData'
import { timing } from '../_lib/timing'
import type { LogStatus } from '../LogStatus'
import type { ReplicaCoreOptions } from '../ReplicaCoreOptions'
import type { ReplicaEffect } from '../ReplicaEffect'
import type { ReplicaRole } from '../ReplicaRole'

/** After its own vote a candidate waits for those of the others, whose syncs may be slower. */
const SYNCS_AFTER_OWN_VOTE = 2

type Effects = Generator<ReplicaEffect, void>
type Message<T extends ReplicaMessage['type']> = Extract<ReplicaMessage, { type: T }>

/**
 * @name ReplicaCore
 * @category Log
 * @summary Decisions of one replica of a log group, without input or output.
 *
 * @description
 * Terms, elections with pre-vote, check-quorum, replication, commits, confirmed reads, learners and membership changes.
 * Each step takes the monotonic time in milliseconds and yields effects, which the owner runs in order. A step is run
 * to its end before the next one begins.
 *
 * @param options - State from the disk, peers, source of random numbers.
 *
 * @example
 * for (const effect of core.step(message, performance.now())) await run(effect)
 */
export class ReplicaCore {
  readonly #options: ReplicaCoreOptions
  readonly #data: ReplicaData
  readonly #receiver: EntryReceiver
  readonly #formation: Formation
  #role: ReplicaRole = 'follower'
  #leader: string | undefined
  #leading: LeaderState | undefined
  #votes = new Set<string>()
  #electionMs: number
  #leaderContactMs = -Infinity
  /** When this replica last held everything that its leader had committed. */
  #currentMs = -Infinity

  constructor (options: ReplicaCoreOptions) {
    this.#options = options
    this.#data = new ReplicaData(options)
    this.#receiver = new EntryReceiver(this.#data)
    this.#formation = new Formation(this.#data, options)
    this.#electionMs = options.nowMs + this.#computeElectionTimeout()
  }

  get id (): string { return this.#data.id }
  get role (): ReplicaRole { return this.#role }
  get term (): number { return this.#data.term }
  /** Id of the leader, if known. */
  get leader (): string | undefined { return this.#leader }
  get commitOffset (): number { return this.#data.commitOffset }
  get baseOffset (): number { return this.#data.log.baseOffset }
  get lastOffset (): number { return this.#data.log.lastOffset }

  /** When `tick` is due. */
  get nextTickMs (): number {
    if (this.#leading) return this.#leading.nextHeartbeatMs
    return Math.min(this.#electionMs, this.#formation.nextProbeMs)
  }

  /** More instances where a leader may be found. */
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
    return createLogStatus(this.#data, { role: this.#role, leader: this.#leader, leading: this.#leading })
  }

  * tick (nowMs: number): Effects {
    if (this.#leading) {
      if (!this.#leading.isSupported(nowMs)) return yield * this.#stepDown(undefined, nowMs)
      if (nowMs >= this.#leading.nextHeartbeatMs) yield * this.#leading.sendHeartbeats(nowMs)
      return
    }
    yield * this.#formation.tick(nowMs, this.#leaderContactMs)
    if (this.#isSoleVoter() || nowMs >= this.#electionMs) yield * this.#startPreVote(nowMs)
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
        if (this.#leading && clusterId) yield * this.#leading.addLearner(message.from)
        return
      }
      case 'probeReply': return yield * this.#formation.handleProbeReply(message)
      case 'genesis': return yield * this.#formation.handleGenesis(message)
    }
  }

  /** Appends commands. Returns the offset of the first one, or undefined if this replica does not lead. */
  * propose (commands: readonly Uint8Array[]): Generator<ReplicaEffect, number | undefined> {
    if (!this.#leading) return undefined
    const offset = this.#data.log.lastOffset + 1
    yield * this.#leading.append(commands.map(command => ({ command })))
    return offset
  }

  /** Confirms that this replica still leads; yields `readReady` with the offset to apply before the read. */
  * confirmRead (id: number, nowMs: number): Effects {
    if (this.#leading) yield * this.#leading.confirmRead(id, nowMs)
    else yield { type: 'readFailed', id }
  }

  /** The owner reports that all appends up to a sequence number are durable. */
  * handleSynced (sequence: number): Effects {
    this.#data.syncs.handleSynced(sequence)
    if (this.#leading) yield * this.#leading.handleSynced()
    else if (this.#leader) yield this.#receiver.createReply(this.#leader)
  }

  /** Drops entries that a saved snapshot replaces. */
  * truncateThrough (offset: number): Effects {
    this.#data.log.truncateThrough(Math.min(offset, this.#data.commitOffset))
  }

  /** Milliseconds since this replica was current: as a leader with a majority, or with everything that its leader had committed. */
  computeAge (nowMs: number): number {
    return this.#leading?.isSupported(nowMs) ? 0 : nowMs - this.#currentMs
  }

  /** Records how long a vote took to become durable. An election under way is given more time on a slow disk, or it would never end. */
  recordVoteSync (durationMs: number, nowMs: number): void {
    const othersMs = SYNCS_AFTER_OWN_VOTE * Math.min(durationMs, timing.maxVoteSyncMs)
    this.#electionMs = Math.max(this.#electionMs, nowMs + othersMs + this.#computeElectionTimeout())
  }

  #computeElectionTimeout (): number {
    const { minElectionTimeoutMs, maxElectionTimeoutMs } = timing
    return minElectionTimeoutMs + this.#options.random() * (maxElectionTimeoutMs - minElectionTimeoutMs)
  }

  #isSoleVoter (): boolean {
    return this.#data.isVoter() && this.#data.listOthers('voters').length === 0
  }

  #hasLiveLeader (nowMs: number): boolean {
    return this.#leading !== undefined || nowMs - this.#leaderContactMs < timing.minElectionTimeoutMs
  }

  * #startPreVote (nowMs: number): Effects {
    this.#electionMs = nowMs + this.#computeElectionTimeout()
    // The first members must be durable before a leader sends them: after a crash it would form a second cluster.
    if (!this.#data.isVoter() || this.#data.syncs.syncedOffset === 0) return
    yield * this.#setRole('preCandidate', undefined)
    this.#votes = new Set([this.#data.id])
    if (hasQuorum(this.#data.voterSets, id => this.#votes.has(id))) return yield * this.#startElection(nowMs)
    const { lastOffset, lastTerm } = this.#data.log
    for (const id of this.#data.listOthers('voters')) {
      yield this.#data.createSend(id, { type: 'preVote', term: this.#data.term + 1, lastOffset, lastTerm })
    }
  }

  * #startElection (nowMs: number): Effects {
    this.#electionMs = nowMs + this.#computeElectionTimeout()
    this.#data.term++
    this.#data.votedFor = this.#data.id
    this.#receiver.reset()
    yield this.#data.createSaveVote()
    yield * this.#setRole('candidate', undefined)
    this.#votes = new Set([this.#data.id])
    if (hasQuorum(this.#data.voterSets, id => this.#votes.has(id))) return yield * this.#startLeading(nowMs)
    const { lastOffset, lastTerm } = this.#data.log
    for (const id of this.#data.listOthers('voters')) yield this.#data.createSend(id, { type: 'vote', lastOffset, lastTerm })
  }

  * #startLeading (nowMs: number): Effects {
    this.#leading = new LeaderState(this.#data, nowMs, this.#options.maxVoters)
    yield * this.#setRole('leader', this.#data.id)
    yield * this.#leading.append([{}])
    yield * this.#leading.sendHeartbeats(nowMs)
  }

  * #setRole (role: ReplicaRole, leader: string | undefined): Effects {
    const isChanged = role !== this.#role || leader !== this.#leader
    this.#role = role
    this.#leader = leader
    if (isChanged) yield { type: 'roleChanged', role, term: this.#data.term, leader }
  }

  /** Becomes a follower, in the same term. */
  * #stepDown (leader: string | undefined, nowMs: number): Effects {
    const leading = this.#leading
    this.#leading = undefined
    this.#electionMs = nowMs + this.#computeElectionTimeout()
    if (leading) yield * leading.refuseReads()
    yield * this.#setRole('follower', leader)
  }

  * #acceptTerm (term: number, votedFor: string | undefined, leader: string | undefined, nowMs: number): Effects {
    this.#data.term = term
    this.#data.votedFor = votedFor ?? null
    this.#receiver.reset()
    yield this.#data.createSaveVote()
    yield * this.#stepDown(leader, nowMs)
  }

  #isLogCurrent (message: { lastOffset: number, lastTerm: number }): boolean {
    const { lastOffset, lastTerm } = this.#data.log
    return message.lastTerm > lastTerm || (message.lastTerm === lastTerm && message.lastOffset >= lastOffset)
  }

  * #handlePreVote (message: Message<'preVote'>, nowMs: number): Effects {
    const isGranted = message.term > this.#data.term && this.#isLogCurrent(message) && !this.#hasLiveLeader(nowMs)
    yield this.#data.createSend(message.from, { type: 'preVoteReply', isGranted, term: isGranted ? message.term : this.#data.term })
  }

  * #handleVote (message: Message<'vote'>, nowMs: number): Effects {
    const isNewTerm = message.term > this.#data.term && !this.#hasLiveLeader(nowMs)
    const { term, votedFor } = isNewTerm ? { term: message.term, votedFor: null } : this.#data
    const isFree = votedFor === null || votedFor === message.from
    const isGranted = message.term === term && isFree && this.#isLogCurrent(message)
    if (isNewTerm) yield * this.#acceptTerm(term, isGranted ? message.from : undefined, undefined, nowMs)
    else if (isGranted && votedFor === null) {
      this.#data.votedFor = message.from
      yield this.#data.createSaveVote()
    }
    if (isGranted) this.#electionMs = nowMs + this.#computeElectionTimeout()
    yield this.#data.createSend(message.from, { type: 'voteReply', isGranted })
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
    if (this.#leader !== message.from) yield * this.#stepDown(message.from, nowMs)
    this.#leaderContactMs = nowMs
    this.#electionMs = nowMs + this.#computeElectionTimeout()
    if (message.type === 'append') yield * this.#receiver.handleAppend(message)
    else yield * this.#receiver.handleSnapshot(message)
    if (message.type === 'append' && this.#data.commitOffset >= message.commitOffset) this.#currentMs = nowMs
  }

  * #handleAppendReply (message: Message<'appendReply'>, nowMs: number): Effects {
    if (message.term > this.#data.term) return yield * this.#acceptTerm(message.term, undefined, undefined, nowMs)
    if (message.term === this.#data.term && this.#leading) yield * this.#leading.handleReply(message, nowMs)
  }
}
