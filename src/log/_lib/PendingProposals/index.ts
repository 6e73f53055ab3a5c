import { AppError } from '../../../contract/AppError'
import { PendingResult } from '../PendingResult'

interface Proposal {
  command: Uint8Array
  pending: PendingResult
}

/** Proposals to this replica that have no result yet: waiting to be appended, or appended and not yet applied. */
export class PendingProposals {
  #waiting: Proposal[] = []
  readonly #appended = new Map<number, PendingResult>()

  get waitingCount (): number {
    return this.#waiting.length
  }

  add (command: Uint8Array, timeoutMs: number): Promise<unknown> {
    const pending = new PendingResult(timeoutMs, createUnknownOutcomeError)
    this.#waiting.push({ command, pending })
    return pending.promise
  }

  takeWaiting (): Proposal[] {
    const proposals = this.#waiting
    this.#waiting = []
    return proposals
  }

  addAppended (firstOffset: number, proposals: readonly Proposal[]): void {
    for (const [index, { pending }] of proposals.entries()) this.#appended.set(firstOffset + index, pending)
  }

  takeAppended (offset: number): PendingResult | undefined {
    const pending = this.#appended.get(offset)
    this.#appended.delete(offset)
    return pending
  }

  /**
   * Fails the appended proposals with outcome `unknown`. Called when the replica no longer leads or is stopped: the next
   * leader may still commit their entries.
   */
  settleAppendedAsUnknown (): void {
    for (const pending of this.#appended.values()) pending.refuse(createUnknownOutcomeError())
    this.#appended.clear()
  }

  /** Fails the proposals that were not appended, which therefore had no effect. */
  refuseWaiting (error: AppError): void {
    for (const { pending } of this.takeWaiting()) pending.refuse(error)
  }
}

function createUnknownOutcomeError (): AppError {
  return new AppError('control-unavailable', 'The command was proposed, but its commit was not confirmed.', { outcome: 'unknown' })
}
