import { z } from 'zod'

/**
 * @name FetchRecordRequest
 * @category Contract
 * @summary Message `waitForRecord`: resolves when a keyed call no longer runs, or after the time.
 *
 * @example
 * FetchRecordRequest.parse({ id: 'quotes/k1', waitMs: 1000 })
 */
export const FetchRecordRequest = z.object({ id: z.string(), waitMs: z.number().int().nonnegative().max(30_000) })
export type FetchRecordRequest = z.infer<typeof FetchRecordRequest>
