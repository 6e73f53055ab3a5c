import { z } from 'zod'

/**
 * @name SettingsDifference
 * @category Contract
 * @summary What a settings document would change, without hashes of keys and tokens.
 *
 * @description
 * `revisions`: revision of each subtree that the document or the changes name. `after` is null for a deletion, `before`
 * is null for a new setting. `hasHiddenChange`: only a hash differs, so that `before` and `after` look the same.
 *
 * @example
 * SettingsDifference.parse({ offset: 3, revisions: {}, changes: [] })
 */
export const SettingsDifference = z.object({
  offset: z.number(),
  revisions: z.record(z.string(), z.number()),
  changes: z.array(z.object({ path: z.string(), before: z.json(), after: z.json(), hasHiddenChange: z.boolean() }))
})
export type SettingsDifference = z.infer<typeof SettingsDifference>
