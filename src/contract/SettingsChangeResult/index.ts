import { z } from 'zod'

/**
 * @name SettingsChangeResult
 * @category Contract
 * @summary Result of a settings change.
 *
 * @example
 * SettingsChangeResult.parse({ status: 'accepted', revision: 4, offset: 17 })
 */
export const SettingsChangeResult = z.discriminatedUnion('status', [
  /** Holds the new revision of the subtree and the log offset of the change. */
  z.object({ status: z.literal('accepted'), revision: z.number(), offset: z.number() }),
  /**
   * The expected revision is outdated. Holds the current revision of the subtree, and the current values at the paths
   * of the refused change.
   */
  z.object({ status: z.literal('conflict'), revision: z.number(), values: z.record(z.string(), z.json()) }),
  /** The value at `path` is not valid. */
  z.object({ status: z.literal('invalid'), path: z.string(), reason: z.string() })
])
export type SettingsChangeResult = z.infer<typeof SettingsChangeResult>
