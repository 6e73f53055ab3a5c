import { z } from 'zod'

/**
 * @name FetchLogReply
 * @category Contract
 * @summary Reply to `fetchLog`.
 *
 * @description
 * Either `entries` that follow the observer's offset without a gap, or a `snapshot` (state and its offset) when those
 * entries are truncated already. `commitOffset`: the newest committed offset that the sender knows.
 *
 * @example
 * FetchLogReply.parse({ entries: [], commitOffset: 0 })
 */
export const FetchLogReply = z.object({
  entries: z.array(z.object({ offset: z.number(), command: z.unknown() })),
  snapshot: z.object({ offset: z.number(), state: z.unknown() }).optional(),
  commitOffset: z.number()
})
export type FetchLogReply = z.infer<typeof FetchLogReply>
