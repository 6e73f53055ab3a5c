import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name LinkIdentity
 * @category Contract
 * @summary Identity of the process at one end of a link.
 *
 * @example
 * LinkIdentity.parse({ instance: 'r1', incarnation: 'a1', zone: 'perth-a', role: 'router' })
 */
export const LinkIdentity = z.object({
  instance: Name,
  /** Random id that the process generates at each start; tells a restarted process from its predecessor. */
  incarnation: z.string().min(1).max(64),
  zone: Name,
  role: z.enum(['router', 'control', 'operator'])
})
export type LinkIdentity = z.infer<typeof LinkIdentity>
