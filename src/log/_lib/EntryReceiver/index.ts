import { AppError } from '../../../contract/AppError'
import type { LogEntry } from '../../../contract/LogEntry'
import type { ReplicaMessage } from '../../../contract/ReplicaMessage'
import type { ReplicaEffect } from '../../ReplicaEffect'
import type { ReplicaData } from '../ReplicaData'

type Effects = Generator<ReplicaEffect, void>
type Message<T extends ReplicaMessage['type']> = Extract<ReplicaMessage, { type: T }>

/** The follower's side of replication. */
export class EntryReceiver {
  readonly #data: ReplicaData
  /** Up to here the log is known to equal that of the leader of this term. */
  #verifiedOffset = 0
  #readSequence = 0

  constructor (data: ReplicaData) {
    this.#data = data
  }

  /** Forgets what the leader of an earlier term confirmed. */
  reset (): void {
    this.#verifiedOffset = 0
    this.#readSequence = 0
  }

  createReply (leader: string): ReplicaEffect {
    const matchOffset = Math.min(this.#data.syncs.syncedOffset, this.#verifiedOffset)
    return this.#createReply(leader, { isAccepted: true, matchOffset, conflictOffset: 0 })
  }

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
    yield this.createReply(message.from)
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
    yield this.createReply(from)
  }

  #createReply (to: string, content: { isAccepted: boolean, matchOffset: number, conflictOffset: number }): ReplicaEffect {
    return this.#data.createSend(to, { type: 'appendReply', ...content, readSequence: this.#readSequence })
  }

  /** Offset from which the leader must send again, or undefined if the entries fit. */
  #findConflict ({ previousOffset, previousTerm }: Message<'append'>): number | undefined {
    const { log, commitOffset } = this.#data
    // Committed entries equal the leader's.
    if (previousOffset <= commitOffset) return undefined
    if (previousOffset > log.lastOffset) return log.lastOffset + 1
    const term = log.getTerm(previousOffset)
    if (term === previousTerm) return undefined
    const equalOffset = Math.max(commitOffset, this.#verifiedOffset)
    let offset = previousOffset
    while (offset - 1 > equalOffset && log.getTerm(offset - 1) === term) offset--
    return offset
  }

  * #append (entries: LogEntry[]): Effects {
    const { log, syncs } = this.#data
    const missing = entries.filter(({ offset, term }) => offset > log.baseOffset && log.getTerm(offset) !== term)
    if (missing.length === 0) return
    const [{ offset }] = missing
    if (offset <= this.#data.commitOffset) throw new AppError('log-corrupted', `The leader's entry ${offset} differs from the committed one.`)
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
