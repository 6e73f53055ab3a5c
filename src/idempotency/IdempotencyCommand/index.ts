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
 * `id`: client account and key. `session`: incarnation of the router under one lease. `attempt`: id of one run of a call.
 * `atMs`: wall-clock time that the control leader adds, for the retention.
 * `claim` creates a record. `complete` ends it. `withdraw` removes exactly one attempt that sent nothing, and refuses a
 * claim of it that arrives later. `lead` names the control process that counts leases. `expire` ends the records of a
 * session whose lease has expired; it counts only from the process that leads.
 *
 * @example
 * IdempotencyCommand.parse({ type: 'withdraw', id: 'a/k', attempt: '1', atMs: 0 })
 */
export const IdempotencyCommand = z.discriminatedUnion('type', [
  z.object({ type: z.literal('claim'), id: Id.max(400), digest: Id, session: Id, attempt: Id, atMs: AtMs }),
  z.object({ type: z.literal('complete'), id: Id.max(400), attempt: Id, response: StoredResponse, atMs: AtMs }),
  z.object({ type: z.literal('withdraw'), id: Id.max(400), attempt: Id, atMs: AtMs }),
  z.object({ type: z.literal('lead'), grantor: Id, atMs: AtMs }),
  z.object({ type: z.literal('expire'), grantor: Id, session: Id, atMs: AtMs })
])
export type IdempotencyCommand = z.infer<typeof IdempotencyCommand>
