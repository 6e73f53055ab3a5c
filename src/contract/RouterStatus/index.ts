import { z } from 'zod'

const MAX_LISTED = 10_000

/**
 * @name RouterStatus
 * @category Contract
 * @summary One-way message `reportStatus` of a router to every control replica: readiness and current load.
 *
 * @description
 * Without `accounts` the report is brief: `running` then lists only draining targets.
 *
 * @example
 * RouterStatus.parse({ offset: 17, isReady: true, waiting: 0, running: [], draining: [], accounts: [] })
 */
export const RouterStatus = z.object({
  /** Newest settings offset that the router has applied. */
  offset: z.number().int().nonnegative(),
  isReady: z.boolean(),
  /** Requests that wait in the router. */
  waiting: z.number().int().nonnegative(),
  /** Targets on which requests of this router run, with the number of those requests. */
  running: z.array(z.tuple([z.string(), z.number()])).max(MAX_LISTED),
  /** Targets that the router sends no new requests to. */
  draining: z.array(z.string()).max(MAX_LISTED),
  /** Client accounts with waiting or running requests, with the numbers of waiting and of running requests. */
  accounts: z.array(z.tuple([z.string(), z.number(), z.number()])).max(MAX_LISTED).optional()
})
export type RouterStatus = z.infer<typeof RouterStatus>
