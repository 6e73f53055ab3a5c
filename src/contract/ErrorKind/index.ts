import { z } from 'zod'

/**
 * @name ErrorKind
 * @category Contract
 * @summary The closed list of error kinds.
 *
 * @description
 * Every error that crosses a module boundary has one of these kinds. `errorTable` maps each kind to its HTTP status,
 * outcome and exit code.
 *
 * @example
 * ErrorKind.parse('queue-full')
 */
export const ErrorKind = z.enum([
  'bad-request', 'body-too-large', 'headers-too-large', 'request-timeout', 'unauthenticated', 'forbidden', 'not-found',
  'unknown-service', 'queue-full', 'deadline-exceeded', 'no-target', 'prompt-blocked', 'target-failed',
  'target-timeout', 'answer-truncated', 'outcome-unknown', 'key-conflict', 'key-in-progress', 'control-unavailable',
  'revision-conflict', 'invalid-settings', 'not-leader', 'log-corrupted', 'disk-failed', 'frame-invalid',
  'frame-too-large', 'version-mismatch', 'cluster-key-mismatch', 'shutting-down', 'caller-gone', 'internal'
])
export type ErrorKind = z.infer<typeof ErrorKind>
