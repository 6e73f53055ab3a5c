import { z } from 'zod'
import { Name } from '../Name'

const NonNegativeInt = z.number().int().nonnegative()

/**
 * @name ZoneReportMessage
 * @category Contract
 * @summary Message `zoneReport`: full state of a router, sent to a scheduler with which it is not registered yet.
 *
 * @example
 * ZoneReportMessage.parse({ session: 1, held: [], backlog: [], settled: [], ledger: [] })
 */
export const ZoneReportMessage = z.object({
  /** Grows each time the router registers; grants of an earlier session are void. */
  session: NonNegativeInt,
  /** Grants in use. */
  held: z.array(z.object({
    id: NonNegativeInt,
    account: Name,
    service: Name,
    target: Name,
    /** Cost charged so far. */
    charged: z.number(),
    /** Zone that lent the slot, and its id for the lend; present for lent slots only. */
    lentBy: z.object({ zone: Name, id: NonNegativeInt }).optional()
  })),
  /** Waiting requests by account and service. */
  backlog: z.array(z.object({
    type: z.literal('backlog'),
    account: Name,
    service: Name,
    /** Number of waiting requests. */
    waiting: NonNegativeInt,
    /** Mean estimated cost of the waiting requests. */
    estimate: z.number(),
    /** Prefix hash of the oldest waiting request. */
    prefixHash: z.number().optional(),
    /** Targets that none of the waiting requests may use. */
    excluded: z.array(Name).optional()
  })),
  /** Cost of requests that ended while no scheduler was known. */
  settled: z.array(z.object({ account: Name, service: Name, cost: z.number() })),
  /** The router's copy of the ledger. */
  ledger: z.array(z.object({ service: Name, account: Name, zone: Name, total: z.number(), lift: z.number() }))
})
export type ZoneReportMessage = z.infer<typeof ZoneReportMessage>
