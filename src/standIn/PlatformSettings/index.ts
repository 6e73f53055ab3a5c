import { z } from 'zod'
import { PlatformInstance } from '../../contract/PlatformInstance'

/**
 * @name PlatformSettings
 * @category Stand-in
 * @summary Settings of the stand-in for the platform's membership list.
 *
 * @example
 * PlatformSettings.parse({ lagMs: 2000 })
 */
export const PlatformSettings = z.strictObject({
  /** Initial list. */
  instances: z.array(PlatformInstance).default([]),
  /** Age of the returned list. */
  lagMs: z.number().nonnegative().default(0)
})
export type PlatformSettings = z.infer<typeof PlatformSettings>
