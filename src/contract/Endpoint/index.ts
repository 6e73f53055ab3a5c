import { z } from 'zod'
import { ListenAddress } from '../ListenAddress'

/**
 * @name Endpoint
 * @category Contract
 * @summary IP address and port, either as an object or as text `ip:port`.
 *
 * @example
 * Endpoint.parse('10.1.0.35:8783') // { host: '10.1.0.35', port: 8783 }
 */
export const Endpoint = z.union([
  ListenAddress,
  z.string().transform(text => ({ host: text.slice(0, text.lastIndexOf(':')), port: Number(text.slice(text.lastIndexOf(':') + 1)) })).pipe(ListenAddress)
])
export type Endpoint = z.infer<typeof Endpoint>
