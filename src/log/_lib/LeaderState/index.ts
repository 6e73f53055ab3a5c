import type { LogEntry } from '../../../contract/LogEntry'
import type { LogMembers } from '../../../contract/LogMembers'
import type { ReplicaMessage } from '../../../contract/ReplicaMessage'
import type { ReplicaEffect } from '../../ReplicaEffect'
import { computeMembersWithLearner } from '../computeMembersWithLearner'
import { computeMembersWithPromotion } from '../computeMembersWithPromotion'
import { computeMembersWithReplacement } from '../computeMembersWithReplacement'
import { computeQuorumOffset } from '../computeQuorumOffset'
import { hasQuorum } from '../hasQuorum'
import type { ReplicaData } from '../ReplicaData'
import { timing } from '../timing'

const MAX_APPEND_ENTRIES = 512
const MAX_APPEND_BYTES = 1024 * 1024
/** Limit on unacknowledged entries to one follower, so that the backlog of a paused follower stays bounded. */
const MAX_ENTRIES_IN_FLIGHT = 4_096

interface ReplicationProgress {
  /** Offset of the next entry to send. */
  nextOffset: number
  /** Highest offset up to which the follower's log is known to be synced and to match the leader's. */
  matchOffset: number
  /** Highest read sequence that the follower has acknowledged. */
  readSequence: number
  lastReplyMs: number
  snapshotSentMs: number
}

interface PendingRead {
  id: number
  sequence: number
  /** Unknown until the leader has committed an entry of its own term. */
  offset?: number
}

type Effects = Generator<ReplicaEffect, void>

/** State of a leader in one term: replication, commits, reads and membership changes. */
export class LeaderState {
  readonly #data: ReplicaData
  readonly #progress = new Map<string, ReplicationProgress>()
  readonly #leaderSinceMs: number
  /** Undefined if only a replica of the same instance may replace a voter. */
  readonly #maxVoters: number | undefined
  #pendingReads: PendingRead[] = []
  #readSequence = 0
  #nextHeartbeatMs = 0

  constructor (data: ReplicaData, nowMs: number, maxVoters?: number) {
    this.#maxVoters = maxVoters
    this.#data = data
    this.#leaderSinceMs = nowMs
  }

  get nextHeartbeatMs (): number {
    return this.#nextHeartbeatMs
  }

  /** Whether an entry of this term is committed. Until then the commit offset may lag behind that of earlier leaders. */
  get hasCommittedInTerm (): boolean {
    return this.#data.log.getTerm(this.#data.commitOffset) === this.#data.term
  }

  getMatchOffset (id: string): number {
    return this.#isSelf(id) ? this.#data.syncs.syncedOffset : this.#getProgress(id).matchOffset
  }

  * append (contents: Array<Pick<LogEntry, 'command' | 'members'>>): Effects {
    const { log, term, syncs } = this.#data
    const entries = contents.map((content, index) => ({ offset: log.lastOffset + 1 + index, term, ...content }))
    for (const entry of entries) log.append(entry)
    yield { type: 'append', sequence: syncs.startWrite(log.lastOffset), entries }
    yield * this.sendMissingEntries()
  }

  /** Sends every member the entries that it lacks. */
  * sendMissingEntries (nowMs = this.#leaderSinceMs): Effects {
    for (const id of this.#data.listOtherMembers('all')) yield * this.#sendEntries(id, nowMs, false)
  }

  * sendHeartbeats (nowMs: number): Effects {
    this.#nextHeartbeatMs = nowMs + timing.heartbeatMs
    for (const id of this.#data.listOtherMembers('all')) yield * this.#sendEntries(id, nowMs, true)
    yield * this.#replaceLostMembers(nowMs)
  }

  * handleSynced (): Effects {
    yield * this.#updateCommit()
  }

  * handleReply (message: ReplicaMessage & { type: 'appendReply' }, nowMs: number): Effects {
    const { from } = message
    if (!this.#data.listOtherMembers('all').includes(from)) return
    const progress = this.#getProgress(from)
    progress.lastReplyMs = nowMs
    progress.readSequence = Math.max(progress.readSequence, message.readSequence)
    if (message.isAccepted) this.#recordMatch(progress, message)
    else progress.nextOffset = Math.max(progress.matchOffset + 1, Math.min(message.conflictOffset, this.#data.log.lastOffset + 1))
    // A refusal at or below the acknowledged offset is stale, or the follower has lost entries. The resend is left to
    // the next heartbeat, because resending on each such refusal could loop forever.
    if (!message.isAccepted && message.conflictOffset <= progress.matchOffset) return
    yield * this.#sendEntries(from, nowMs, false)
    yield * this.#updateCommit()
    yield * this.#completeReads()
    yield * this.#replaceVoterByLearner(from)
  }

  /** Adds a replica as a learner at its request, unless it is a member or no membership change is allowed now. */
  * addLearner (id: string): Effects {
    const { members } = this.#data.log
    if (!members || !this.#isMembershipChangeAllowed()) return
    if ([...members.voters, ...members.learners].includes(id)) return
    yield * this.append([{ members: computeMembersWithLearner(members, id) }])
  }

  * confirmRead (id: number, nowMs: number): Effects {
    const offset = this.hasCommittedInTerm ? this.#data.commitOffset : undefined
    this.#pendingReads.push({ id, sequence: ++this.#readSequence, offset })
    yield * this.sendHeartbeats(nowMs)
    yield * this.#completeReads()
  }

  * refuseReads (): Effects {
    for (const { id } of this.#pendingReads) yield { type: 'readFailed', id }
    this.#pendingReads = []
  }

  /** Whether a majority has replied within the window, by default the longest of the usual election timeouts. */
  hasRecentQuorum (nowMs: number, windowMs: number = timing.maxElectionTimeoutMs): boolean {
    const sinceMs = nowMs - windowMs
    return hasQuorum(this.#data.voterSets, id => this.#isSelf(id) || this.#getProgress(id).lastReplyMs >= sinceMs)
  }

  #isSelf (id: string): boolean {
    return id === this.#data.id
  }

  #getProgress (id: string): ReplicationProgress {
    let progress = this.#progress.get(id)
    if (!progress) {
      const nextOffset = this.#data.log.lastOffset + 1
      progress = { nextOffset, matchOffset: 0, readSequence: 0, lastReplyMs: this.#leaderSinceMs, snapshotSentMs: -Infinity }
      this.#progress.set(id, progress)
    }
    return progress
  }

  #recordMatch (progress: ReplicationProgress, message: ReplicaMessage & { type: 'appendReply' }): void {
    progress.matchOffset = Math.max(progress.matchOffset, message.matchOffset)
    progress.nextOffset = Math.max(progress.nextOffset, progress.matchOffset + 1)
  }

  * #sendEntries (id: string, nowMs: number, isHeartbeat: boolean): Effects {
    const { log, commitOffset } = this.#data
    const progress = this.#getProgress(id)
    if (progress.nextOffset <= log.baseOffset) {
      if (nowMs - progress.snapshotSentMs >= timing.snapshotRetryMs) {
        progress.snapshotSentMs = nowMs
        yield { type: 'sendSnapshot', from: this.#data.id, to: id, term: this.#data.term, clusterId: this.#data.clusterId }
      }
      if (isHeartbeat) yield this.#createAppend(id, log.lastOffset, [], commitOffset)
      return
    }
    let isSent = false
    while (progress.nextOffset <= log.lastOffset && progress.nextOffset - progress.matchOffset <= MAX_ENTRIES_IN_FLIGHT) {
      const entries = log.listAfter(progress.nextOffset - 1, { maxEntries: MAX_APPEND_ENTRIES, maxBytes: MAX_APPEND_BYTES })
      yield this.#createAppend(id, progress.nextOffset - 1, entries, commitOffset)
      progress.nextOffset += entries.length
      isSent = true
    }
    if (isHeartbeat && !isSent) yield this.#createAppend(id, progress.nextOffset - 1, [], commitOffset)
  }

  #createAppend (to: string, previousOffset: number, entries: LogEntry[], commitOffset: number): ReplicaEffect {
    const previousTerm = this.#data.log.getTerm(previousOffset)!
    return this.#data.createSendEffect(to, { type: 'append', previousOffset, previousTerm, entries, commitOffset, readSequence: this.#readSequence })
  }

  * #updateCommit (): Effects {
    const { log, term, voterSets } = this.#data
    const offset = computeQuorumOffset(voterSets, id => this.getMatchOffset(id))
    // An entry of an earlier term is committed only together with one of this term, because a later leader could
    // otherwise replace it.
    if (offset <= this.#data.commitOffset || log.getTerm(offset) !== term) return
    this.#data.commitOffset = offset
    yield { type: 'apply', offset }
    yield * this.#completeReads()
    yield * this.#completeMembershipChange()
    for (const id of this.#data.listOtherMembers('all')) {
      const { nextOffset } = this.#getProgress(id)
      if (nextOffset > log.baseOffset) yield this.#createAppend(id, nextOffset - 1, [], offset)
    }
  }

  /** Completes the pending reads for which a majority has acknowledged the read sequence. */
  * #completeReads (): Effects {
    if (!this.hasCommittedInTerm) return
    const unconfirmed: PendingRead[] = []
    for (const read of this.#pendingReads) {
      read.offset ??= this.#data.commitOffset
      const isConfirmed = hasQuorum(this.#data.voterSets, id => this.#isSelf(id) || this.#getProgress(id).readSequence >= read.sequence)
      if (isConfirmed) yield { type: 'readReady', id: read.id, offset: read.offset }
      else unconfirmed.push(read)
    }
    this.#pendingReads = unconfirmed
  }

  #isMembershipChangeAllowed (): boolean {
    return this.#data.isMembershipSettled && this.hasCommittedInTerm
  }

  /** Completes a replacement of voters once majorities of the old and the new voters have committed it. */
  * #completeMembershipChange (): Effects {
    const { log, hasPendingMembershipChange, isMembershipSettled } = this.#data
    if (hasPendingMembershipChange || isMembershipSettled) return
    const { previousVoters, ...members } = log.members!
    yield * this.append([{ members }])
  }

  /** Replaces a lost voter, adds voters up to the limit, or removes learners that no longer reply. */
  * #replaceLostMembers (nowMs: number): Effects {
    const { members } = this.#data.log
    if (this.#maxVoters === undefined || !members || !this.#isMembershipChangeAllowed()) return
    const isUnresponsive = (id: string, limitMs: number): boolean => !this.#isSelf(id) && nowMs - this.#getProgress(id).lastReplyMs > limitMs
    const replaced = computeMembersWithReplacement(members, {
      isLost: id => isUnresponsive(id, timing.replaceAfterMs),
      isCurrent: id => !isUnresponsive(id, timing.maxElectionTimeoutMs) && this.getMatchOffset(id) >= this.#data.commitOffset,
      maxVoters: this.#maxVoters
    })
    if (replaced) return yield * this.append([{ members: replaced }])
    const learners = members.learners.filter(id => !isUnresponsive(id, timing.removeLearnerAfterMs))
    if (learners.length < members.learners.length) yield * this.append([{ members: { ...members, learners } }])
  }

  /** Replaces an instance's voter by its learner with a new disk, once that disk holds every committed entry. */
  * #replaceVoterByLearner (id: string): Effects {
    const members: LogMembers | undefined = this.#data.log.members
    if (!members || !this.#isMembershipChangeAllowed()) return
    if (this.#getProgress(id).matchOffset < this.#data.commitOffset) return
    const promoted = computeMembersWithPromotion(members, id)
    if (promoted) yield * this.append([{ members: promoted }])
  }
}
