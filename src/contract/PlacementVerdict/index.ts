import { z } from 'zod'

/**
 * @name PlacementVerdict
 * @category Contract
 * @summary Reply to `requestPlacement`.
 *
 * @description
 * `place`: the target has room, and reading the prompt there takes about `readMs`. `refuse`: no target can begin to
 * answer in time; there may be room after `retryAfterS`. `none`: no target is known that may run it.
 *
 * @example
 * PlacementVerdict.parse({ type: 'place', target: 'i-1', readMs: 80 })
 */
export const PlacementVerdict = z.discriminatedUnion('type', [
  z.object({ type: z.literal('place'), target: z.string(), readMs: z.number() }),
  z.object({ type: z.literal('refuse'), retryAfterS: z.number() }),
  z.object({ type: z.literal('none') })
])
export type PlacementVerdict = z.infer<typeof PlacementVerdict>
