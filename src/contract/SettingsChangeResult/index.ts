import { z } from 'zod'

/**
 * @name SettingsChangeResult
 * @category Contract
 * @summary The answer to a settings change.
 *
 * @description
 * `accepted` carries the subtree's new revision and the log offset of the change. `conflict` carries the current
 * revision and the winner's values for the paths of the refused change. `invalid` carries the reason.
 *
 * @example
 * SettingsChangeResult.parse({ status: 'accepted', revision: 4, offset: 17 })
 */
export const SettingsChangeResult = z.discriminatedUnion('status', [
  z.object({ status: z.literal('accepted'), revision: z.number(), offset: z.number() }),
  z.object({ status: z.literal('conflict'), revision: z.number(), values: z.record(z.string(), z.json()) }),
  z.object({ status: z.literal('invalid'), path: z.string(), reason: z.string() })
])
export type SettingsChangeResult = z.infer<typeof SettingsChangeResult>
