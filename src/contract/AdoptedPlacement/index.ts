import { z } from 'zod'
import { RunningPlacement } from '../RunningPlacement'

/**
 * @name AdoptedPlacement
 * @category Contract
 * @summary A running request that a router reports to a scheduler that does not know it; item of message `adoptPlacements`.
 *
 * @example
 * AdoptedPlacement.parse({ request, target: 'i-1', readMs: 80, isRead: false, isCounted: true })
 */
export const AdoptedPlacement = RunningPlacement.extend({
  /** Whether a scheduler of the fleet placed the request, so that the account shares of the fleet contain it already. */
  isCounted: z.boolean().default(false)
})
export type AdoptedPlacement = z.infer<typeof AdoptedPlacement>
