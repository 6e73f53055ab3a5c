import { z } from 'zod'

/**
 * @name SuspectPart
 * @category Contract
 * @summary A prompt part under which targets crashed since it was last answered.
 *
 * @example
 * SuspectPart.parse({ service: 's', part: '5c1e07a2', crashes: 2, blockedMs: 1_200, targets: ['i-1', 'i-2'] })
 */
export const SuspectPart = z.object({
  service: z.string(),
  /** Id of the part. */
  part: z.string(),
  /** Number of crashes of targets under the part since it was last answered. */
  crashes: z.number().int().nonnegative(),
  /** Milliseconds for which requests with the part are still refused; 0 if they are not. */
  blockedMs: z.number().nonnegative(),
  /** Ids of the targets that crashed, the newest last; bounded. */
  targets: z.array(z.string())
})
export type SuspectPart = z.infer<typeof SuspectPart>
