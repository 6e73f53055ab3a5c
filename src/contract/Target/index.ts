import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name Target
 * @category Contract
 * @summary Value of `/teams/<team>/targets/<target>`.
 *
 * @example
 * Target.parse({ service: 'llama', zone: 'perth-a', url: 'http://127.0.0.1:8000', slots: 8 })
 */
export const Target = z.strictObject({
  /** Service that the target belongs to. */
  service: Name,
  /** Availability zone of the target. */
  zone: Name,
  /** Origin, for example `http://10.0.0.7:8000`. */
  url: z.url({ protocol: /^https?$/ }),
  /** Maximum number of requests that run on the target at once. */
  slots: z.number().int().positive().max(10_000),
  /** `checked` if the target refuses commands with an outdated fencing token. */
  fencing: z.enum(['checked', 'ignored']).default('ignored')
})
export type Target = z.infer<typeof Target>
