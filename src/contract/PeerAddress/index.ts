import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name PeerAddress
 * @category Contract
 * @summary Address at which another instance accepts links.
 *
 * @example
 * PeerAddress.parse({ instance: 'c1', zone: 'perth-a', host: '127.0.0.1', port: 7100 })
 */
export const PeerAddress = z.strictObject({
  instance: Name,
  zone: Name,
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535)
})
export type PeerAddress = z.infer<typeof PeerAddress>
