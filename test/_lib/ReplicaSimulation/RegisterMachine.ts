import type { Checker } from './Checker'

export interface PlantedFaults {
  /** The vote file is not written. */
  forgetsVotes?: boolean
  /** Entries are reported as durable before they are. */
  reportsUnsynced?: boolean
  /** A replica with an empty disk keeps its old identity. */
  keepsIdentity?: boolean
  /** After a restart, entries are applied again to the state of before. */
  keepsStateOnRestart?: boolean
  ignoresChangeIds?: boolean
  ignoresRevisions?: boolean
  /** Reads are answered without a confirmation by a majority. */
  skipsConfirmation?: boolean
}

/** State machine of the simulation: a revision, and the result of each change. */
export class RegisterMachine {
  offset = 0
  revision = 0
  results = new Map<string, string>()

  constructor (readonly checker: Checker, readonly faults: PlantedFaults) {}

  apply (command: Uint8Array, offset: number): { changeId: string, result: string } {
    const { changeId, expectedRevision } = JSON.parse(Buffer.from(command).toString())
    const known = this.results.get(changeId)
    if (known !== undefined && !this.faults.ignoresChangeIds) return { changeId, result: known }
    const isAccepted = expectedRevision === this.revision || this.faults.ignoresRevisions === true
    this.checker.recordExecuted(changeId, offset)
    if (isAccepted) {
      this.checker.recordWinner(expectedRevision, changeId)
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
