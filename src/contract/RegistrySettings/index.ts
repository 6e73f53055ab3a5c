import { z } from 'zod'
import { Endpoint } from '../Endpoint'

/**
 * @name RegistrySettings
 * @category Contract
 * @summary Settings of a registry replica, which keeps the route documents.
 *
 * @description
 * `host`: address by which the other replicas reach this one; it also names the replica. `seeds`: other replicas (only
 * the hosts count). `list`: where the platform's list of targets is read. `mayForm`: the cluster starts for the first
 * time, and this replica may form it with the seeds. `toleratedLosses`: replicas that may be lost at the same time; the
 * log has one voter more than twice that, and further replicas are learners that replace lost voters.
 *
 * @example
 * RegistrySettings.parse({ instance: 'core-1', host: '127.0.0.1', zone: 'perth-a', http: '127.0.0.1:0', linkPort: 7400, seeds: ['127.0.0.1:80'], list: '127.0.0.1:81', mayForm: true, toleratedLosses: 1, dataDir: '/data', clusterKey: 'k'.repeat(16) })
 */
export const RegistrySettings = z.object({
  instance: z.string().min(1),
  host: z.string(),
  zone: z.string(),
  http: Endpoint,
  linkPort: z.number().int().nonnegative(),
  seeds: z.array(Endpoint),
  list: Endpoint,
  mayForm: z.boolean(),
  toleratedLosses: z.number().int().positive().default(1),
  dataDir: z.string().min(1),
  clusterKey: z.string().min(16),
  snapshotEvery: z.number().int().positive().default(100),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})
export type RegistrySettings = z.infer<typeof RegistrySettings>
