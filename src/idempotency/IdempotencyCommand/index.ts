import { z } from 'zod'
import { StoredResponse } from '../StoredResponse'

const Id = z.string().min(1).max(200)
const AtMs = z.number().nonnegative()

/**
 * @name IdempotencyCommand
 * @category Idempotency
 * @summary Commands of the log group `idempotency`.
 *
 * @description
 * Fields of the commands:
 * - `id`: client account and idempotency key.
 * - `session`: incarnation of the router and number of its session. The session ends when its lease expires.
 * - `attempt`: id of one attempt to run the call.
 * - `grantor`: id of a control process that grants leases.
 * - `atMs`: wall-clock time that the control leader adds, used for the retention of records.
 *
 * @example
 * IdempotencyCommand.parse({ type: 'withdraw', id: 'a/k', attempt: '1', atMs: 0 })
 */
export const IdempotencyCommand = z.discriminatedUnion('type', [
  /** Creates a record, unless the key has one. */
  z.object({ type: z.literal('claim'), id: Id.max(400), digest: Id, session: Id, attempt: Id, atMs: AtMs }),
  /** Ends the record with a response. */
  z.object({ type: z.literal('complete'), id: Id.max(400), attempt: Id, response: StoredResponse, atMs: AtMs }),
  /**
   * Withdraws exactly one attempt, which has sent nothing, and removes the record if it belongs to this attempt. Refused
   * if the record has a response other than `unknown`. A claim by the same attempt that is applied later has no effect.
   */
  z.object({ type: z.literal('withdraw'), id: Id.max(400), attempt: Id, atMs: AtMs }),
  /** Names the control process that tracks the leases of sessions from now on. */
  z.object({ type: z.literal('lead'), grantor: Id, atMs: AtMs }),
  /** Ends the records of a session whose lease has expired. No effect unless the last `lead` named this `grantor`. */
  z.object({ type: z.literal('expire'), grantor: Id, session: Id, atMs: AtMs })
])
export type IdempotencyCommand = z.infer<typeof IdempotencyCommand>
