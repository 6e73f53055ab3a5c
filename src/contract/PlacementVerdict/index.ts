import { z } from 'zod'

/**
 * @name PlacementVerdict
 * @category Contract
 * @summary Reply to `requestPlacement`. Durations are estimates of the scheduler.
 *
 * @example
 * PlacementVerdict.parse({ type: 'place', target: 'i-1', waitMs: 20, readMs: 80 })
 */
export const PlacementVerdict = z.discriminatedUnion('type', [
  /**
   * `target` has room. The prompt waits there for about `waitMs` milliseconds and is read in about `readMs`
   * milliseconds; at a target of nominal speed it would be read in `nominalReadMs`.
   */
  z.object({ type: z.literal('place'), target: z.string(), waitMs: z.number(), readMs: z.number(), nominalReadMs: z.number().optional() }),
  /**
   * No target can send the first event in time; the earliest one needs about `waitMs` + `readMs` milliseconds. A target
   * may have room after `retryAfterS` seconds.
   */
  z.object({ type: z.literal('refuse'), retryAfterS: z.number(), waitMs: z.number(), readMs: z.number() }),
  /**
   * Targets crash when they answer prompts with this part: `crashes` of them since its last answer. Prompts with the part
   * are refused for `retryAfterS` seconds.
   */
  z.object({ type: z.literal('blocked'), part: z.string(), crashes: z.number(), retryAfterS: z.number() }),
  /** The scheduler knows no target that may run the request. */
  z.object({ type: z.literal('none') })
])
export type PlacementVerdict = z.infer<typeof PlacementVerdict>
