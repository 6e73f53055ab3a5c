import type { LogEntry } from '../../../src/contract/LogEntry'
import type { ReplicaCore } from '../../../src/log/ReplicaCore'

class InvariantError extends Error {
  constructor (readonly invariant: string, details: string) {
    super(`${invariant}: ${details}`)
  }
}

const render = ({ term, command, members }: LogEntry): string => `${term} ${command ? Buffer.from(command).toString() : ''} ${members ? JSON.stringify(members) : ''}`

/** Checks the invariants of the log across all replicas of a schedule, and throws at the first violation. */
export class InvariantChecker {
  readonly #leaderByTerm = new Map<number, string>()
  /** Committed entries by offset; the first element stands for the empty log. */
  readonly #committed: string[] = ['']
  readonly #termByOffset: number[] = [0]
  /** By offset, the term of the replica that applied the entry first. */
  readonly #commitTermByOffset: number[] = [0]
  readonly #offsetByChange = new Map<string, number>()
  readonly #acceptedByRevision = new Map<number, string>()
  readonly #results = new Map<string, string>()
  newestResultOffset = 0

  get committedOffset (): number { return this.#committed.length - 1 }
  get results (): ReadonlyMap<string, string> { return this.#results }

  recordLeader (core: ReplicaCore): void {
    const known = this.#leaderByTerm.get(core.term)
    if (known !== undefined && known !== core.id) throw new InvariantError('one leader a term', `${known} and ${core.id} lead term ${core.term}`)
    this.#leaderByTerm.set(core.term, core.id)
    for (let offset = Math.max(1, core.baseOffset); offset <= this.committedOffset; offset++) {
      // A candidate of an older term may still win by delayed votes, but it can not commit anything.
      if (core.term < this.#commitTermByOffset[offset]) continue
      if (core.getTerm(offset) !== this.#termByOffset[offset]) throw new InvariantError('committed entries never lost', `${core.id} leads term ${core.term} without entry ${offset}`)
    }
  }

  recordApplied (core: ReplicaCore, appliedOffset: number, entry: LogEntry): void {
    const replica = core.id
    const { offset, term } = entry
    if (offset > this.#committed.length) throw new InvariantError('no gap', `${replica} applies offset ${offset} although no replica has applied the one before`)
    if (offset === this.#committed.length) {
      this.#committed.push(render(entry))
      this.#termByOffset.push(term)
      this.#commitTermByOffset.push(core.term)
    }
    if (this.#committed[offset] !== render(entry)) throw new InvariantError('committed entries never changed', `${replica} applies a different entry at offset ${offset}`)
    if (offset !== appliedOffset + 1) throw new InvariantError('no offset applied backwards', `${replica} applies offset ${offset} after ${appliedOffset}`)
  }

  recordExecuted (changeId: string, offset: number): void {
    const known = this.#offsetByChange.get(changeId)
    if (known !== undefined && known !== offset) throw new InvariantError('each change applied once', `${changeId} at offsets ${known} and ${offset}`)
    this.#offsetByChange.set(changeId, offset)
  }

  recordAccepted (revision: number, changeId: string): void {
    const known = this.#acceptedByRevision.get(revision)
    if (known !== undefined && known !== changeId) throw new InvariantError('one winner of a race', `${known} and ${changeId} at revision ${revision}`)
    this.#acceptedByRevision.set(revision, changeId)
  }

  recordResult (changeId: string, result: string, offset: number): void {
    const known = this.#results.get(changeId)
    if (known !== undefined && known !== result) throw new InvariantError('each change has one result', `${changeId}: ${known} and ${result}`)
    this.#results.set(changeId, result)
    this.newestResultOffset = Math.max(this.newestResultOffset, offset)
  }

  checkRead (offset: number, acceptedBefore: number): void {
    if (offset < acceptedBefore) throw new InvariantError('no stale read', `a read at offset ${offset} misses a change accepted at offset ${acceptedBefore}`)
  }

  checkEnd (isConverged: boolean, finalResults: ReadonlyMap<string, string>, revision: number): void {
    if (!isConverged) throw new InvariantError('progress after the faults', 'the replicas did not converge')
    for (const [changeId, result] of this.#results) {
      if (finalResults.get(changeId) !== result) throw new InvariantError('committed entries never lost', `the result of ${changeId} is missing or differs from the one returned`)
    }
    for (let before = 0; before < revision; before++) {
      if (!this.#acceptedByRevision.has(before)) throw new InvariantError('one winner of a race', `no change accepted at revision ${before}`)
    }
  }
}
