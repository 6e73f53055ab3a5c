import { convertToAppError } from '../../../contract/convertToAppError'
import type { LogEntry } from '../../../contract/LogEntry'
import type { LogSnapshot } from '../../../contract/LogSnapshot'
import type { LogStatistics } from '../../LogStatistics'
import type { StateMachine } from '../../StateMachine'
import { cborCodec } from '../cborCodec'
import type { PendingProposals } from '../PendingProposals'

interface EntryApplierOptions {
  machine: StateMachine
  /** Proposals that get the results of their commands. */
  proposals: PendingProposals
  getEntry: (offset: number) => LogEntry
}

interface AppliedBatch {
  entries: number
  /** Size of the commands in bytes. */
  bytes: number
  durationMs: number
}

/** Applies committed entries to the state machine in order, and passes the results to their proposals. */
export class EntryApplier {
  readonly #options: EntryApplierOptions
  readonly #totals = { appliedEntries: 0, appliedBytes: 0, longestApplyMs: 0 }
  #offset = 0

  constructor (options: EntryApplierOptions) {
    this.#options = options
  }

  /** Highest offset that is applied. */
  get offset (): number {
    return this.#offset
  }

  /** Sums over all batches, and the duration of the longest one. */
  get totals (): Readonly<Pick<LogStatistics, 'appliedEntries' | 'appliedBytes' | 'longestApplyMs'>> {
    return this.#totals
  }

  /** Applies all entries up to an offset. */
  applyThrough (offset: number): AppliedBatch {
    const startedAtMs = performance.now()
    const batch = { entries: offset - this.#offset, bytes: 0 }
    while (this.#offset < offset) batch.bytes += this.#applyNext()
    this.#options.machine.notifyObservers?.()
    const durationMs = performance.now() - startedAtMs
    this.#totals.appliedEntries += batch.entries
    this.#totals.appliedBytes += batch.bytes
    this.#totals.longestApplyMs = Math.max(this.#totals.longestApplyMs, durationMs)
    return { ...batch, durationMs }
  }

  /** Replaces the state by that of a snapshot. */
  install (snapshot: LogSnapshot): void {
    const { machine } = this.#options
    machine.install(cborCodec.decode(snapshot.state))
    this.#offset = snapshot.offset
    machine.notifyObservers?.()
  }

  /** Applies the next entry and returns the size of its command in bytes. */
  #applyNext (): number {
    const { machine, proposals, getEntry } = this.#options
    const offset = ++this.#offset
    const { command } = getEntry(offset)
    const pending = proposals.takeAppended(offset)
    try {
      const result = machine.apply(command ? cborCodec.decode(command) : null, offset)
      pending?.complete(result)
    } catch (error) {
      // A command that fails in the state machine fails in the same way on every replica, so the states stay equal.
      pending?.refuse(convertToAppError(error))
    }
    return command?.length ?? 0
  }
}
