import { z } from 'zod'

/**
 * @name FetchLogRequest
 * @category Contract
 * @summary Message `fetchLog`: long poll of an observer for settings log entries after an offset.
 *
 * @description
 * The request also serves as the heartbeat of the observer.
 *
 * @example
 * FetchLogRequest.parse({ offset: 0, waitMs: 1000, maxEntries: 100 })
 */
export const FetchLogRequest = z.object({
  /** Last offset that the observer has applied. */
  offset: z.number().int().nonnegative(),
  /** Longest time in milliseconds that the receiver waits for newer entries before it replies. */
  waitMs: z.number().int().nonnegative().max(30_000),
  /** Maximum number of entries in the reply. */
  maxEntries: z.number().int().positive().max(10_000)
})
export type FetchLogRequest = z.infer<typeof FetchLogRequest>
