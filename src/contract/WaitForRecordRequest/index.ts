import { z } from 'zod'

/**
 * @name WaitForRecordRequest
 * @category Contract
 * @summary Message `waitForRecord`: the reply comes once a request with an idempotency key has ended, or at the time-out.
 *
 * @example
 * WaitForRecordRequest.parse({ id: 'quotes/k1', waitMs: 1000 })
 */
export const WaitForRecordRequest = z.object({
  /** Client account and idempotency key. */
  id: z.string(),
  /** Time-out in milliseconds. */
  waitMs: z.number().int().nonnegative().max(30_000)
})
export type WaitForRecordRequest = z.infer<typeof WaitForRecordRequest>
