import { z } from 'zod'
import { ObserverReport } from '../ObserverReport'

const MAX_REPORTS = 1_000

/**
 * @name ReportOffsets
 * @category Contract
 * @summary One-way message `reportOffsets`: a relay passes on how far the observers behind it are.
 *
 * @example
 * ReportOffsets.parse({ reports: [] })
 */
export const ReportOffsets = z.object({ reports: z.array(ObserverReport).max(MAX_REPORTS) })
export type ReportOffsets = z.infer<typeof ReportOffsets>
