import { z } from 'zod'
import { IdempotencyRecord } from '../IdempotencyRecord'

/**
 * @name IdempotencyState
 * @category Idempotency
 * @summary Snapshot of the idempotency table.
 *
 * @description
 * The entries of `ended`, `withdrawn` and `sessions` are in the order of their times.
 *
 * @example
 * IdempotencyState.parse({ offset: 0, nowMs: 0, records: [], ended: [], withdrawn: [], sessions: [] })
 */
export const IdempotencyState = z.object({
  offset: z.number().int().nonnegative(),
  /** Highest `atMs` of the applied commands. */
  nowMs: z.number(),
  /** Id of the control process that tracks the leases of sessions. */
  grantor: z.string().optional(),
  /** Records by id. */
  records: z.array(z.tuple([z.string(), IdempotencyRecord])),
  /** Times at which records ended, by record id. */
  ended: z.array(z.tuple([z.string(), z.number()])),
  /** Times at which attempts were withdrawn, by attempt id. */
  withdrawn: z.array(z.tuple([z.string(), z.number()])),
  /** Times at which sessions ended, by session. */
  sessions: z.array(z.tuple([z.string(), z.number()]))
})
export type IdempotencyState = z.infer<typeof IdempotencyState>
