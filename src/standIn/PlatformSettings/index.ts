import { z } from 'zod'
import { PlatformInstance } from '../../contract/PlatformInstance'

/**
 * @name PlatformSettings
 * @category Stand-in
 * @summary How the stand-in of the platform's membership list behaves.
 *
 * @description
 * `instances`: the list at the start. `lagMs`: age of the list that is answered.
 *
 * @example
 * PlatformSettings.parse({ lagMs: 2000 })
 */
export const PlatformSettings = z.strictObject({
  instances: z.array(PlatformInstance).default([]),
  lagMs: z.number().nonnegative().default(0)
})
export type PlatformSettings = z.infer<typeof PlatformSettings>
