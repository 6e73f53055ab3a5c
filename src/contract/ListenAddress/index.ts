import { z } from 'zod'

/**
 * @name ListenAddress
 * @category Contract
 * @summary IP address and port to listen on. With port 0 the system chooses a free port.
 *
 * @example
 * ListenAddress.parse({ host: '127.0.0.1', port: 0 })
 */
export const ListenAddress = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(0).max(65_535)
})
export type ListenAddress = z.infer<typeof ListenAddress>
