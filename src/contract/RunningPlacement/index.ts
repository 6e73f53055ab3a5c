import { z } from 'zod'
import { PlacementRequest } from '../PlacementRequest'

/**
 * @name RunningPlacement
 * @category Contract
 * @summary A placed call that still runs. A router sends its own to a new scheduler, with message `adoptPlacements`.
 *
 * @example
 * RunningPlacement.parse({ request, target: 'i-1', readMs: 80, isRead: false })
 */
export const RunningPlacement = z.object({ request: PlacementRequest, target: z.string(), readMs: z.number(), isRead: z.boolean() })
export type RunningPlacement = z.infer<typeof RunningPlacement>
