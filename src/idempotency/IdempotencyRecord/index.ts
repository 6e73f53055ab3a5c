import { z } from 'zod'
import { StoredResponse } from '../StoredResponse'

/**
 * @name IdempotencyRecord
 * @category Idempotency
 * @summary One keyed call. Without `response` it runs.
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
