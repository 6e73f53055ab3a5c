import { z } from 'zod'

/**
 * @name FetchLogReply
 * @category Contract
 * @summary Reply to `fetchLog`: settings log entries for an observer, or a snapshot.
 *
 * @example
 * FetchLogReply.parse({ entries: [], commitOffset: 0, ageMs: 0 })
 */
export const FetchLogReply = z.object({
  /** Entries that follow the observer's offset without a gap; empty if the reply holds a snapshot. */
  entries: z.array(z.object({ offset: z.number(), command: z.unknown() })),
  /** State of the settings and its offset; sent when the entries that the observer needs are already truncated. */
  snapshot: z.object({ offset: z.number(), state: z.unknown() }).optional(),
  /** Newest committed offset that the sender knows. */
  commitOffset: z.number(),
  /** Milliseconds since a control replica confirmed the sender's data; 0 when the sender is a control replica. */
  ageMs: z.number().nonnegative().default(0)
})
export type FetchLogReply = z.infer<typeof FetchLogReply>
