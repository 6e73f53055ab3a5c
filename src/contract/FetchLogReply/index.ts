import { z } from 'zod'

/**
 * @name FetchLogReply
 * @category Contract
 * @summary Reply to `fetchLog`.
 *
 * @description
 * Either `entries` that follow the observer's offset without a gap, or a `snapshot` (state and its offset) when those
 * entries are truncated already. `commitOffset`: the newest committed offset that the sender knows. `ageMs`: time since
 * the sender's data was confirmed by a control replica; 0 when the sender is one.
 *
 * @example
 * FetchLogReply.parse({ entries: [], commitOffset: 0, ageMs: 0 })
 */
export const FetchLogReply = z.object({
  entries: z.array(z.object({ offset: z.number(), command: z.unknown() })),
  snapshot: z.object({ offset: z.number(), state: z.unknown() }).optional(),
  commitOffset: z.number(),
  ageMs: z.number().nonnegative().default(0)
})
export type FetchLogReply = z.infer<typeof FetchLogReply>
