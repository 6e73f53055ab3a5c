import { z } from 'zod'

/**
 * @name SettingsHistoryEntry
 * @category Contract
 * @summary Record of one accepted settings change: operator, time and changed paths.
 *
 * @description
 * It holds no values, because values may contain hashes of keys.
 *
 * @example
 * SettingsHistoryEntry.parse({ offset: 9, atMs: 0, operator: 'ann', subtree: '/teams/sales', revision: 3, paths: ['/teams/sales/drains/r1'], deletedPaths: [] })
 */
export const SettingsHistoryEntry = z.object({
  /** Log offset of the change. */
  offset: z.number(),
  /** Wall-clock time in milliseconds since the epoch. */
  atMs: z.number(),
  /** Name of the operator who made the change. */
  operator: z.string(),
  subtree: z.string(),
  /** Revision of the subtree after the change. */
  revision: z.number(),
  paths: z.array(z.string()),
  deletedPaths: z.array(z.string())
})
export type SettingsHistoryEntry = z.infer<typeof SettingsHistoryEntry>
