import { AppError } from '../../../contract/AppError'
import type { LogEntry } from '../../../contract/LogEntry'
import type { ReplicaMessage } from '../../../contract/ReplicaMessage'
import type { ReplicaEffect } from '../../ReplicaEffect'
import type { ReplicaData } from '../ReplicaData'

type Effects = Generator<ReplicaEffect, void>
type Message<T extends ReplicaMessage['type']> = Extract<ReplicaMessage, { type: T }>

/** Follower side of replication: checks and appends the leader's entries, and installs its snapshots. */
export class EntryReceiver {
  readonly #data: ReplicaData
  /** Highest offset up to which the log is known to match that of the leader of this term. */
  #verifiedOffset = 0
  /** Highest read sequence received from the leader of this term. Replies return it to confirm pending reads. */
  #readSequence = 0

  constructor (data: ReplicaData) {
    this.#data = data
  }

  /** Discards what was verified against the leader of an earlier term. */
  reset (): void {
    this.#verifiedOffset = 0
    this.#readSequence = 0
  }

  /** Creates a reply that reports how far the log is synced and known to match the leader's. */
  createAcceptance (leader: string): ReplicaEffect {
    const matchOffset = Math.min(this.#data.syncs.syncedOffset, this.#verifiedOffset)
    return this.#createReply(leader, { isAccepted: true, matchOffset, conflictOffset: 0 })
  }

  /** `conflictOffset`: offset from which the leader must resend; 0 if the term of its message is outdated. */
  createRefusal (leader: string, conflictOffset = 0): ReplicaEffect {
    return this.#createReply(leader, { isAccepted: false, matchOffset: 0, conflictOffset })
  }

  * handleAppend (message: Message<'append'>): Effects {
    this.#readSequence = Math.max(this.#readSequence, message.readSequence)
    const conflictOffset = this.#findConflict(message)
    if (conflictOffset !== undefined) {
      yield this.createRefusal(message.from, conflictOffset)
      return
    }
    yield * this.#append(message.entries)
    this.#verifiedOffset = Math.max(this.#verifiedOffset, message.previousOffset + message.entries.length)
    yield * this.#updateCommit(message.commitOffset)
    yield this.createAcceptance(message.from)
  }

  * handleSnapshot ({ from, snapshot }: Message<'installSnapshot'>): Effects {
    const { log, syncs } = this.#data
    if (snapshot.offset > this.#data.commitOffset && log.getTerm(snapshot.offset) !== snapshot.term) {
      log.reset(snapshot)
      syncs.reset(snapshot.offset)
      this.#data.commitOffset = snapshot.offset
      yield { type: 'installSnapshot', snapshot }
    }
    this.#verifiedOffset = Math.max(this.#verifiedOffset, snapshot.offset)
    yield * this.#updateCommit(snapshot.offset)
    yield this.createAcceptance(from)
  }

  #createReply (to: string, content: { isAccepted: boolean, matchOffset: number, conflictOffset: number }): ReplicaEffect {
    return this.#data.createSendEffect(to, { type: 'appendReply', ...content, readSequence: this.#readSequence })
  }

  /** Returns the offset from which the leader must resend, or undefined if the logs match at the previous offset. */
  #findConflict ({ previousOffset, previousTerm }: Message<'append'>): number | undefined {
    const { log, commitOffset } = this.#data
    // Committed entries always match the leader's.
    if (previousOffset <= commitOffset) return undefined
    if (previousOffset > log.lastOffset) return log.lastOffset + 1
    const term = log.getTerm(previousOffset)
    if (term === previousTerm) return undefined
    const knownMatchOffset = Math.max(commitOffset, this.#verifiedOffset)
    let offset = previousOffset
    while (offset - 1 > knownMatchOffset && log.getTerm(offset - 1) === term) offset--
    return offset
  }

  * #append (entries: LogEntry[]): Effects {
    const { log, syncs } = this.#data
    const missing = entries.filter(({ offset, term }) => offset > log.baseOffset && log.getTerm(offset) !== term)
    if (missing.length === 0) return
    const [{ offset }] = missing
    if (offset <= this.#data.commitOffset) throw new AppError('log-corrupted', `The leader sent entry ${offset} with another term than the committed entry at that offset.`)
    if (offset <= log.lastOffset) {
      log.truncateAfter(offset - 1)
      syncs.truncateAfter(offset - 1)
    }
    for (const entry of missing) log.append(entry)
    yield { type: 'append', sequence: syncs.startWrite(log.lastOffset), entries: missing }
  }

  * #updateCommit (leaderCommitOffset: number): Effects {
    const offset = Math.min(leaderCommitOffset, this.#verifiedOffset)
    if (offset <= this.#data.commitOffset) return
    this.#data.commitOffset = offset
    yield { type: 'apply', offset }
  }
}
