import type { ErrorKind } from '../ErrorKind'
import { errorTable } from '../errorTable'
import type { Outcome } from '../Outcome'

interface AppErrorOptions {
  cause?: unknown
  /** Replaces the outcome that `errorTable` gives for the kind. */
  outcome?: Outcome
  /** Seconds after which a retry may be accepted. */
  retryAfterS?: number
  /** Details for the body of the response. */
  details?: Record<string, unknown>
}

/**
 * @name AppError
 * @category Contract
 * @summary An error with one of the kinds of ErrorKind.
 *
 * @description
 * Errors that cross a module boundary are of this class. The kind determines the HTTP status, the outcome and the exit
 * code.
 *
 * @param kind - The error kind.
 * @param message - One short sentence that is sent to the caller; it must not contain a secret.
 * @param options - Cause, outcome, seconds until a retry, details for the body of the response.
 *
 * @example
 * new AppError('queue-full', 'The queue of account quotes is full.', { retryAfterS: 2 }).status // 429
 */
export class AppError extends Error {
  readonly kind: ErrorKind
  readonly outcome: Outcome
  readonly retryAfterS?: number
  readonly details?: Record<string, unknown>

  constructor (kind: ErrorKind, message: string, options: AppErrorOptions = {}) {
    super(message, { cause: options.cause })
    this.name = 'AppError'
    this.kind = kind
    this.outcome = options.outcome ?? errorTable[kind].outcome
    this.retryAfterS = options.retryAfterS
    this.details = options.details
  }

  get status (): number {
    return errorTable[this.kind].status
  }
}
