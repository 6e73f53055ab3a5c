import { z } from 'zod'
import { StoredResponse } from '../StoredResponse'

/**
 * @name IdempotencyRecord
 * @category Idempotency
 * @summary Record of one call with an idempotency key. While it has no `response`, the call is running.
 *
 * @example
 * IdempotencyRecord.parse({ digest: 'd', session: 's', attempt: '1' })
 */
export const IdempotencyRecord = z.object({
  digest: z.string(),
  session: z.string(),
  attempt: z.string(),
  response: StoredResponse.optional()
})
export type IdempotencyRecord = z.infer<typeof IdempotencyRecord>
