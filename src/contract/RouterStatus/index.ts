import { z } from 'zod'

const MAX_LISTED = 10_000

/**
 * @name RouterStatus
 * @category Contract
 * @summary One-way message `reportStatus`: what a router does now.
 *
 * @description
 * `offset`: newest applied offset of the settings. `targets`: targets on which requests of this router run, and the
 * targets to which it sends no new work. `accounts`: client accounts with waiting or running requests.
 * Without `accounts` the report is brief: `running` then lists only draining targets.
 *
 * @example
 * RouterStatus.parse({ offset: 17, isReady: true, waiting: 0, running: [], draining: [], accounts: [] })
 */
export const RouterStatus = z.object({
  offset: z.number().int().nonnegative(),
  isReady: z.boolean(),
  waiting: z.number().int().nonnegative(),
  running: z.array(z.tuple([z.string(), z.number()])).max(MAX_LISTED),
  draining: z.array(z.string()).max(MAX_LISTED),
  accounts: z.array(z.tuple([z.string(), z.number(), z.number()])).max(MAX_LISTED).optional()
})
export type RouterStatus = z.infer<typeof RouterStatus>
