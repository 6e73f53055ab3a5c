import { z } from 'zod'
import { ObserverReport } from '../ObserverReport'

const MAX_REPORTS = 1_000

/**
 * @name ReportOffsets
 * @category Contract
 * @summary One-way message `reportOffsets`: a relay forwards the offsets that the observers behind it have applied.
 *
 * @example
 * ReportOffsets.parse({ reports: [] })
 */
export const ReportOffsets = z.object({ reports: z.array(ObserverReport).max(MAX_REPORTS) })
export type ReportOffsets = z.infer<typeof ReportOffsets>
