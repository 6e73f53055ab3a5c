import { z } from 'zod'
import { Name } from '../Name'

const Index = z.number().int().nonnegative()

/**
 * @name ZoneReportMessage
 * @category Contract
 * @summary Body of `zoneReport`: everything that a router tells a scheduler that does not know it yet.
 *
 * @description
 * `held`: grants in use. `backlog`: waiting requests by account and service. `settled`: cost of requests that ended
 * while no scheduler was known. `ledger`: the router's copy of the ledger.
 *
 * @example
 * ZoneReportMessage.parse({ session: 1, held: [], backlog: [], settled: [], ledger: [] })
 */
export const ZoneReportMessage = z.object({
  session: Index,
  held: z.array(z.object({ id: Index, account: Name, service: Name, target: Name, charged: z.number(), lentBy: z.object({ zone: Name, id: Index }).optional() })),
  backlog: z.array(z.object({
    type: z.literal('backlog'),
    account: Name,
    service: Name,
    waiting: Index,
    estimate: z.number(),
    prefixHash: z.number().optional(),
    excluded: z.array(Name).optional()
  })),
  settled: z.array(z.object({ account: Name, service: Name, cost: z.number() })),
  ledger: z.array(z.object({ service: Name, account: Name, zone: Name, total: z.number(), lift: z.number() }))
})
export type ZoneReportMessage = z.infer<typeof ZoneReportMessage>
