import { AppError } from '../../../contract/AppError'
import { PendingResult } from '../PendingResult'

interface Proposal {
  command: Uint8Array
  pending: PendingResult
}

/** Proposals of this replica's callers, before and after they are appended. */
export class Proposals {
  #waiting: Proposal[] = []
  readonly #appended = new Map<number, PendingResult>()

  get waitingCount (): number {
    return this.#waiting.length
  }

  add (command: Uint8Array, timeoutMs: number): Promise<unknown> {
    const pending = new PendingResult(timeoutMs, createUnknownOutcome)
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

  /** The replica no longer leads. What was appended may still be committed by the next leader. */
  refuseAppended (): void {
    for (const pending of this.#appended.values()) pending.refuse(createUnknownOutcome())
    this.#appended.clear()
  }

  refuseWaiting (error: AppError): void {
    for (const { pending } of this.takeWaiting()) pending.refuse(error)
  }
}

function createUnknownOutcome (): AppError {
  return new AppError('control-unavailable', 'The change was sent, but the leader did not confirm it.', { outcome: 'unknown' })
}
