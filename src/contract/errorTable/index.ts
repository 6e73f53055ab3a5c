import type { ErrorKind } from '../ErrorKind'
import type { Outcome } from '../Outcome'

/**
 * @name errorTable
 * @category Contract
 * @summary HTTP status, outcome, retryability and exit code of each error kind.
 *
 * @description
 * docs/errors.md repeats this table.
 *
 * @example
 * errorTable['queue-full'].status // 429
 */
export const errorTable: Readonly<Record<ErrorKind, {
  /** HTTP status of the response. */
  status: number
  /** Outcome that the response states unless the error has another one. */
  outcome: Outcome
  /** Whether the caller may retry the request unchanged. */
  isRetryable: boolean
  /** Exit code of the command line. */
  exitCode: number
}>> = {
  'bad-request': { status: 400, outcome: 'not-run', isRetryable: false, exitCode: 2 },
  'body-too-large': { status: 413, outcome: 'not-run', isRetryable: false, exitCode: 2 },
  'headers-too-large': { status: 431, outcome: 'not-run', isRetryable: false, exitCode: 2 },
  'request-timeout': { status: 408, outcome: 'not-run', isRetryable: true, exitCode: 5 },
  unauthenticated: { status: 401, outcome: 'not-run', isRetryable: false, exitCode: 3 },
  forbidden: { status: 403, outcome: 'not-run', isRetryable: false, exitCode: 3 },
  'not-found': { status: 404, outcome: 'not-run', isRetryable: false, exitCode: 4 },
  'unknown-service': { status: 404, outcome: 'not-run', isRetryable: false, exitCode: 4 },
  'queue-full': { status: 429, outcome: 'not-run', isRetryable: true, exitCode: 5 },
  'deadline-exceeded': { status: 504, outcome: 'not-run', isRetryable: true, exitCode: 5 },
  'no-target': { status: 503, outcome: 'not-run', isRetryable: true, exitCode: 5 },
  'prompt-blocked': { status: 503, outcome: 'not-run', isRetryable: false, exitCode: 6 },
  'target-failed': { status: 502, outcome: 'unknown', isRetryable: false, exitCode: 6 },
  'target-timeout': { status: 504, outcome: 'unknown', isRetryable: false, exitCode: 6 },
  'answer-truncated': { status: 502, outcome: 'unknown', isRetryable: false, exitCode: 6 },
  'outcome-unknown': { status: 502, outcome: 'unknown', isRetryable: false, exitCode: 6 },
  'key-conflict': { status: 422, outcome: 'not-run', isRetryable: false, exitCode: 7 },
  'key-in-progress': { status: 409, outcome: 'unknown', isRetryable: true, exitCode: 7 },
  'control-unavailable': { status: 503, outcome: 'not-run', isRetryable: true, exitCode: 8 },
  'revision-conflict': { status: 409, outcome: 'not-run', isRetryable: false, exitCode: 7 },
  'invalid-settings': { status: 422, outcome: 'not-run', isRetryable: false, exitCode: 2 },
  'not-leader': { status: 503, outcome: 'not-run', isRetryable: true, exitCode: 8 },
  'log-corrupted': { status: 500, outcome: 'unknown', isRetryable: false, exitCode: 9 },
  'disk-failed': { status: 500, outcome: 'unknown', isRetryable: false, exitCode: 9 },
  'frame-invalid': { status: 400, outcome: 'not-run', isRetryable: false, exitCode: 10 },
  'frame-too-large': { status: 413, outcome: 'not-run', isRetryable: false, exitCode: 10 },
  'version-mismatch': { status: 400, outcome: 'not-run', isRetryable: false, exitCode: 10 },
  'cluster-key-mismatch': { status: 403, outcome: 'not-run', isRetryable: false, exitCode: 3 },
  'shutting-down': { status: 503, outcome: 'not-run', isRetryable: true, exitCode: 8 },
  'caller-gone': { status: 499, outcome: 'unknown', isRetryable: false, exitCode: 1 },
  internal: { status: 500, outcome: 'unknown', isRetryable: false, exitCode: 1 }
}
