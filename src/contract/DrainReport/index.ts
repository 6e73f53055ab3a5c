import { z } from 'zod'

/**
 * @name DrainReport
 * @category Contract
 * @summary Reply to `fetchDrainReport`: whether requests may still run on a target.
 *
 * @example
 * DrainReport.parse({ isDrained: false, waitingFor: ['r1'] })
 */
export const DrainReport = z.object({
  /** True only if every router with a live lease has closed the target and runs no request on it. */
  isDrained: z.boolean(),
  /**
   * Routers that still block the drain. May be empty although `isDrained` is false: a new control leader does not know
   * all routers yet.
   */
  waitingFor: z.array(z.string())
})
export type DrainReport = z.infer<typeof DrainReport>
