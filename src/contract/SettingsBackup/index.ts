import { z } from 'zod'

/**
 * @name SettingsBackup
 * @category Contract
 * @summary File that `papayalead backup` writes: all settings, including the hashes of keys and tokens.
 *
 * @example
 * SettingsBackup.parse({ format: 'papayalead-settings', version: 1, offset: 0, values: {} })
 */
export const SettingsBackup = z.strictObject({
  format: z.literal('papayalead-settings'),
  version: z.literal(1),
  /** Settings log offset that the backup was made at. */
  offset: z.number().int().nonnegative(),
  /** Settings by path. */
  values: z.record(z.string().startsWith('/'), z.json())
})
export type SettingsBackup = z.infer<typeof SettingsBackup>
