import { z } from 'zod'

/**
 * @name LoadReport
 * @category Contract
 * @summary Message `reportLoad`: the running requests of one router by target, whether it is overloaded, and its placement
 * requests. The reply is a LoadSummary.
 *
 * @example
 * LoadReport.parse({ targets: [['i-1', 3, 9000]] })
 */
export const LoadReport = z.object({
  /** Rows of target id, running requests and prompt tokens of those requests. */
  targets: z.array(z.tuple([z.string(), z.number(), z.number()])),
  /** Whether the router has more work than processor time, and asks to leave the rotation of the load balancer. */
  isOverloaded: z.boolean().default(false),
  /** Ids of all placement requests of the router that wait for a verdict or run; unset if the router does not tell. */
  placements: z.array(z.string()).optional(),
  /** Rows of client account and tokens of the requests that the router refused since its last report, because of its load. */
  refusedTokens: z.array(z.tuple([z.string(), z.number().nonnegative()])).default([])
})
export type LoadReport = z.infer<typeof LoadReport>
