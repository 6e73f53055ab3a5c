import { z } from 'zod'
import { LoadReport } from '../LoadReport'

/**
 * @name LoadSummary
 * @category Contract
 * @summary Sums of the load reports of all other routers.
 *
 * @description
 * `routers`: routers that reported recently, the receiver included.
 *
 * @example
 * LoadSummary.parse({ routers: 9, targets: [] })
 */
export const LoadSummary = LoadReport.extend({ routers: z.number().int().positive() })
export type LoadSummary = z.infer<typeof LoadSummary>
