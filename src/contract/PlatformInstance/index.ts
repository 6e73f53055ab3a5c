import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name PlatformInstance
 * @category Contract
 * @summary An entry of the platform's membership list (`GET /instances` returns `{ "instances": [...] }`).
 *
 * @example
 * PlatformInstance.parse({ instance: 'r1', kind: 'router', zone: 'perth-a', state: 'live', host: '127.0.0.1', port: 7000 })
 */
export const PlatformInstance = z.object({
  instance: Name,
  kind: z.enum(['router', 'control', 'target']),
  zone: Name,
  /** `leaving` when the platform is about to take the instance out of service. */
  state: z.enum(['live', 'leaving']),
  /** Address at which a router or control instance accepts links, or a target accepts requests. */
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535)
})
export type PlatformInstance = z.infer<typeof PlatformInstance>
