import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name LinkIdentity
 * @category Contract
 * @summary Who is at one end of a link.
 *
 * @description
 * `incarnation` is a random id that a process draws at each start, so that a restarted process is told apart from its
 * predecessor.
 *
 * @example
 * LinkIdentity.parse({ instance: 'r1', incarnation: 'a1', zone: 'perth-a', role: 'router' })
 */
export const LinkIdentity = z.object({
  instance: Name,
  incarnation: z.string().min(1).max(64),
  zone: Name,
  role: z.enum(['router', 'control', 'operator'])
})
export type LinkIdentity = z.infer<typeof LinkIdentity>
