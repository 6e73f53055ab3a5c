import { z } from 'zod'

/**
 * @name DrainReport
 * @category Contract
 * @summary Reply to `fetchDrainReport`: whether work may still run on a target.
 *
 * @description
 * `isDrained` is true only if every router with a live lease has closed the target and runs nothing there. Otherwise
 * `waitingFor` names the routers; it is empty while a new control leader does not know all of them yet.
 *
 * @example
 * DrainReport.parse({ isDrained: false, waitingFor: ['r1'] })
 */
export const DrainReport = z.object({ isDrained: z.boolean(), waitingFor: z.array(z.string()) })
export type DrainReport = z.infer<typeof DrainReport>
