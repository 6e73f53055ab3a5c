import { z } from 'zod'
import { Endpoint } from '../Endpoint'
import { RetryBounds } from '../RetryBounds'

/**
 * @name GatewaySettings
 * @category Contract
 * @summary Settings of a router that serves by routes.
 *
 * @description
 * `front`: where callers connect. `ready`: where the readiness check and the metrics are served. `seeds`: registry
 * replicas (only the hosts count); more are learned from them. `linkPort`: where every replica accepts links. `list`:
 * where the platform's list of targets is read. `graceS`: time between the request to stop and the end of the process.
 * `traceFile`: where spans are written; without it none are recorded.
 *
 * @example
 * GatewaySettings.parse({ instance: 'edge-1', zone: 'perth-a', front: '127.0.0.1:0', ready: '127.0.0.1:0', seeds: ['127.0.0.1:80'], linkPort: 7400, list: '127.0.0.1:81', clusterKey: 'k'.repeat(16) })
 */
export const GatewaySettings = z.object({
  instance: z.string().min(1),
  zone: z.string(),
  front: Endpoint,
  ready: Endpoint,
  seeds: z.array(Endpoint),
  linkPort: z.number().int().nonnegative(),
  list: Endpoint,
  clusterKey: z.string().min(16),
  graceS: z.number().positive().default(8),
  retries: RetryBounds.default({ ratio: 0.2, extra: 50, windowS: 10 }),
  traceFile: z.string().optional(),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})
export type GatewaySettings = z.infer<typeof GatewaySettings>
