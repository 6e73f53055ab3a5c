import { z } from 'zod'
import { PlacementRequest } from '../PlacementRequest'

/**
 * @name RunningPlacement
 * @category Contract
 * @summary A placed request that still runs; item of message `adoptPlacements`.
 *
 * @description
 * A router sends its running requests to a new scheduler, and those that the scheduler does not know.
 *
 * @example
 * RunningPlacement.parse({ request, target: 'i-1', readMs: 80, isRead: false })
 */
export const RunningPlacement = z.object({
  request: PlacementRequest,
  target: z.string(),
  /** Estimated milliseconds in which a target of nominal speed reads the prompt. */
  readMs: z.number(),
  /** Whether the target has read the prompt. */
  isRead: z.boolean()
})
export type RunningPlacement = z.infer<typeof RunningPlacement>
