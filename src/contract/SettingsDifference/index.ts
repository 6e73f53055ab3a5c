import { z } from 'zod'

/**
 * @name SettingsDifference
 * @category Contract
 * @summary Changes that a settings document would make, without the hashes of keys and tokens.
 *
 * @example
 * SettingsDifference.parse({ offset: 3, revisions: {}, changes: [] })
 */
export const SettingsDifference = z.object({
  /** Settings log offset that the document was compared at. */
  offset: z.number(),
  /** Revision of each subtree that the document or the changes name. */
  revisions: z.record(z.string(), z.number()),
  changes: z.array(z.object({
    path: z.string(),
    /** Current value; null for a new setting. */
    before: z.json(),
    /** Value in the document; null for a deletion. */
    after: z.json(),
    /** True if only a hash differs, in which case `before` and `after` look the same. */
    hasHiddenChange: z.boolean()
  }))
})
export type SettingsDifference = z.infer<typeof SettingsDifference>
