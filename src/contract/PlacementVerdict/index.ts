import { z } from 'zod'

/**
 * @name PlacementVerdict
 * @category Contract
 * @summary Reply to `requestPlacement`.
 *
 * @description
 * `place`: the target has room; the prompt waits there for about `waitMs` and is read in about `readMs`. `refuse`: no
 * target can begin to answer in time, the first one after about `waitMs` and `readMs`; there may be room after
 * `retryAfterS`. `none`: no target is known that may run it.
 *
 * @example
 * PlacementVerdict.parse({ type: 'place', target: 'i-1', waitMs: 20, readMs: 80 })
 */
export const PlacementVerdict = z.discriminatedUnion('type', [
  z.object({ type: z.literal('place'), target: z.string(), waitMs: z.number(), readMs: z.number() }),
  z.object({ type: z.literal('refuse'), retryAfterS: z.number(), waitMs: z.number(), readMs: z.number() }),
  z.object({ type: z.literal('none') })
])
export type PlacementVerdict = z.infer<typeof PlacementVerdict>
