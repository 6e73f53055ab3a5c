import { z } from 'zod'

/**
 * @name LoadReport
 * @category Contract
 * @summary What one router has under way, and what its client accounts ask for.
 *
 * @description
 * `targets`: [target id, running requests, prompt tokens sent and not yet read, tokens of running requests].
 * `accounts`: [client account, tokens asked for, tokens sent], per second over the last seconds.
 *
 * @example
 * LoadReport.parse({ targets: [['i-1', 3, 1200, 9000]], accounts: [['a', 900, 700]] })
 */
export const LoadReport = z.object({
  targets: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
  accounts: z.array(z.tuple([z.string(), z.number(), z.number()]))
})
export type LoadReport = z.infer<typeof LoadReport>
