import { z } from 'zod'
import { IdempotencyRecord } from '../IdempotencyRecord'

/**
 * @name IdempotencyState
 * @category Idempotency
 * @summary Snapshot of the idempotency table.
 *
 * @description
 * `ended`, `withdrawn` and `sessions` hold the time at which a record, an attempt or a session ended, in that order.
 *
 * @example
 * IdempotencyState.parse({ offset: 0, nowMs: 0, records: [], ended: [], withdrawn: [], sessions: [] })
 */
export const IdempotencyState = z.object({
  offset: z.number().int().nonnegative(),
  nowMs: z.number(),
  grantor: z.string().optional(),
  records: z.array(z.tuple([z.string(), IdempotencyRecord])),
  ended: z.array(z.tuple([z.string(), z.number()])),
  withdrawn: z.array(z.tuple([z.string(), z.number()])),
  sessions: z.array(z.tuple([z.string(), z.number()]))
})
export type IdempotencyState = z.infer<typeof IdempotencyState>
