import type { InvariantChecker } from './InvariantChecker'

/** Bugs that a test injects to show that the invariant checker finds them. */
export interface InjectedBugs {
  /** The vote file is not written. */
  skipsVoteWrite?: boolean
  /** Entries are reported as durable before they have been synced. */
  reportsUnsynced?: boolean
  /** A replica that lost its disk keeps its replica id. */
  keepsIdentity?: boolean
  /** After a restart, entries are applied again to the state from before the restart. */
  keepsStateOnRestart?: boolean
  /** A resent change is executed again. */
  ignoresChangeIds?: boolean
  /** A change is accepted whatever revision it expects. */
  ignoresRevisions?: boolean
  /** The leader answers reads without confirming its leadership with a majority. */
  skipsConfirmation?: boolean
}

/** Replicated state machine of the simulation: a revision that each accepted change increments, and the result of each change. */
export class RevisionMachine {
  offset = 0
  revision = 0
  results = new Map<string, string>()

  constructor (readonly checker: InvariantChecker, readonly bugs: InjectedBugs) {}

  apply (command: Uint8Array, offset: number): { changeId: string, result: string } {
    const { changeId, expectedRevision } = JSON.parse(Buffer.from(command).toString())
    const known = this.results.get(changeId)
    if (known !== undefined && !this.bugs.ignoresChangeIds) return { changeId, result: known }
    const isAccepted = expectedRevision === this.revision || this.bugs.ignoresRevisions === true
    this.checker.recordExecuted(changeId, offset)
    if (isAccepted) {
      this.checker.recordAccepted(expectedRevision, changeId)
      this.revision++
    }
    const result = `${isAccepted ? 'accepted' : 'conflict'} at ${this.revision}`
    this.results.set(changeId, result)
    return { changeId, result }
  }

  getState (): Uint8Array {
    return Buffer.from(JSON.stringify({ revision: this.revision, results: [...this.results] }))
  }

  install (snapshot: { offset: number, state: Uint8Array }): void {
    const { revision, results } = JSON.parse(Buffer.from(snapshot.state).toString())
    this.offset = snapshot.offset
    this.revision = revision
    this.results = new Map(results)
  }
}
