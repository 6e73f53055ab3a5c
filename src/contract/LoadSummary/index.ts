import { z } from 'zod'
import { AccountShare } from '../AccountShare'
import { LoadReport } from '../LoadReport'
import { SuspectPart } from '../SuspectPart'

/**
 * @name LoadSummary
 * @category Contract
 * @summary Reply to `reportLoad`: sums of the load reports of all other routers, whether the receiver may leave the
 * rotation, the suspected prompt parts, the shares of the client accounts, and the placements that the sender does not know.
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
  /** Term in which the sender leads the registry. The suspected parts and the shares of another term are another memory. */
  term: z.number().int().nonnegative().default(0),
  /** Recent traffic of the client accounts, while some of them are served less than they request. */
  shares: z.array(AccountShare).default([]),
  /** Ids in the report of which the sender knows no request; the receiver reports those that run in `adoptPlacements`. */
  unknownPlacements: z.array(z.string()).default([])
})
export type LoadSummary = z.infer<typeof LoadSummary>
