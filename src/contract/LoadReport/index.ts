import { z } from 'zod'

/**
 * @name LoadReport
 * @category Contract
 * @summary What one router has under way.
 *
 * @description
 * `targets`: [target id, running requests, tokens of their prompts].
 *
 * @example
 * LoadReport.parse({ targets: [['i-1', 3, 9000]] })
 */
export const LoadReport = z.object({
  targets: z.array(z.tuple([z.string(), z.number(), z.number()]))
})
export type LoadReport = z.infer<typeof LoadReport>
