import { z } from 'zod'
import { LoadReport } from '../LoadReport'
import { SuspectPart } from '../SuspectPart'

/**
 * @name LoadSummary
 * @category Contract
 * @summary Reply to `reportLoad`: sums of the load reports of all other routers, whether the receiver may leave the
 * rotation, the suspected prompt parts, and the placements that the sender does not know.
 *
 * @example
 * LoadSummary.parse({ routers: 9, targets: [] })
 */
export const LoadSummary = LoadReport.pick({ targets: true }).extend({
  /** Number of routers that reported recently, the receiver included. */
  routers: z.number().int().positive(),
  /** Whether the receiver may leave the rotation of the load balancer because it is overloaded. */
  mayLeaveRotation: z.boolean().default(false),
  /** Prompt parts under which targets crashed, those with the most crashes if there are many. */
  suspects: z.array(SuspectPart).default([]),
  /** Term in which the sender leads the registry. The suspected parts of another term are another memory. */
  term: z.number().int().nonnegative().default(0),
  /** Ids in the report of which the sender knows no request; the receiver reports those that run in `adoptPlacements`. */
  unknownPlacements: z.array(z.string()).default([])
})
export type LoadSummary = z.infer<typeof LoadSummary>
