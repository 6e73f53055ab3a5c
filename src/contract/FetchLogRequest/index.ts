import { z } from 'zod'

/**
 * @name FetchLogRequest
 * @category Contract
 * @summary Message `fetchLog`: settings log entries after an offset (long poll). Also the heartbeat of an observer.
 *
 * @description
 * `offset`: last offset that the observer has applied. `waitMs`: how long to wait for newer entries.
 *
 * @example
 * FetchLogRequest.parse({ offset: 0, waitMs: 1000, maxEntries: 100 })
 */
export const FetchLogRequest = z.object({
  offset: z.number().int().nonnegative(),
  waitMs: z.number().int().nonnegative().max(30_000),
  maxEntries: z.number().int().positive().max(10_000)
})
export type FetchLogRequest = z.infer<typeof FetchLogRequest>
