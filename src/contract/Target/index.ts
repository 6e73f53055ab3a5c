import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name Target
 * @category Contract
 * @summary Value of `/teams/<team>/targets/<target>`.
 *
 * @description
 * `service`: the service that it belongs to. `zone`: its availability zone. `url`: origin, for example
 * `http://10.0.0.7:8000`. `slots`: most requests that run there at once. `fencing`: whether the target refuses orders
 * with an old fencing number.
 *
 * @example
 * Target.parse({ service: 'llama', zone: 'perth-a', url: 'http://127.0.0.1:8000', slots: 8 })
 */
export const Target = z.strictObject({
  service: Name,
  zone: Name,
  url: z.url({ protocol: /^https?$/ }),
  slots: z.number().int().positive().max(10_000),
  fencing: z.enum(['checked', 'ignored']).default('ignored')
})
export type Target = z.infer<typeof Target>
