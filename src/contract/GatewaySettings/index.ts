import { z } from 'zod'
import { Endpoint } from '../Endpoint'
import { RetryBounds } from '../RetryBounds'

/**
 * @name GatewaySettings
 * @category Contract
 * @summary Settings of a router that routes requests by a route document.
 *
 * @example
 * GatewaySettings.parse({ instance: 'edge-1', zone: 'perth-a', front: '127.0.0.1:0', ready: '127.0.0.1:0', seeds: ['127.0.0.1:80'], linkPort: 7400, list: '127.0.0.1:81', clusterKey: 'k'.repeat(16) })
 */
export const GatewaySettings = z.object({
  instance: z.string().min(1),
  zone: z.string(),
  /** Address on which callers connect. */
  front: Endpoint,
  /** Address of the readiness check and the metrics. */
  ready: Endpoint,
  /** Registry replicas to connect to first; only the hosts are used. The router learns of further replicas from them. */
  seeds: z.array(Endpoint),
  /** Port on which every registry replica accepts links. */
  linkPort: z.number().int().nonnegative(),
  /** Address of the platform's list of targets. */
  list: Endpoint,
  /** Shared secret with which the two ends of a link authenticate each other. */
  clusterKey: z.string().min(16),
  /** Seconds from the request to stop to the end of the process. */
  graceS: z.number().positive().default(8),
  /** Retry budget of the whole fleet. */
  retries: RetryBounds.default({ ratio: 0.2, extra: 50, windowS: 10 }),
  /** File that spans are written to; without it no spans are recorded. */
  traceFile: z.string().optional(),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})
export type GatewaySettings = z.infer<typeof GatewaySettings>
