import { z } from 'zod'

/**
 * @name SettingsHistoryEntry
 * @category Contract
 * @summary Who changed which paths of the settings and when.
 *
 * @description
 * `revision`: revision of the subtree after the change. Values are left out, because they may hold hashes of keys.
 *
 * @example
 * SettingsHistoryEntry.parse({ offset: 9, atMs: 0, operator: 'ann', subtree: '/teams/sales', revision: 3, paths: ['/teams/sales/drains/r1'], deletedPaths: [] })
 */
export const SettingsHistoryEntry = z.object({
  offset: z.number(),
  atMs: z.number(),
  operator: z.string(),
  subtree: z.string(),
  revision: z.number(),
  paths: z.array(z.string()),
  deletedPaths: z.array(z.string())
})
export type SettingsHistoryEntry = z.infer<typeof SettingsHistoryEntry>
