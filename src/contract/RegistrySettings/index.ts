import { z } from 'zod'
import { Endpoint } from '../Endpoint'

/**
 * @name RegistrySettings
 * @category Contract
 * @summary Settings of a registry replica, which stores the route documents.
 *
 * @example
 * RegistrySettings.parse({ instance: 'core-1', host: '127.0.0.1', zone: 'perth-a', http: '127.0.0.1:0', linkPort: 7400, seeds: ['127.0.0.1:80'], list: '127.0.0.1:81', mayForm: true, toleratedLosses: 1, dataDir: '/data', clusterKey: 'k'.repeat(16) })
 */
export const RegistrySettings = z.object({
  /** Name of this instance in its log lines and metrics. */
  instance: z.string().min(1),
  /** Address at which the other replicas reach this one; it also identifies this replica to them. */
  host: z.string(),
  zone: z.string(),
  /** Address of the operators' routes and the metrics. */
  http: Endpoint,
  /** Port on which every replica accepts links. */
  linkPort: z.number().int().nonnegative(),
  /** Other replicas; only the hosts are used. */
  seeds: z.array(Endpoint),
  /** Address of the platform's list of targets. */
  list: Endpoint,
  /** True at the first start of the cluster: this replica may form the cluster with the seeds. */
  mayForm: z.boolean(),
  /**
   * Number of replicas that may be lost at the same time. The log has one voter more than twice that number; further
   * replicas are learners that replace lost voters.
   */
  toleratedLosses: z.number().int().positive().default(1),
  /** Directory of the log files. */
  dataDir: z.string().min(1),
  /** Shared secret with which the two ends of a link authenticate each other. */
  clusterKey: z.string().min(16),
  /** Log entries between snapshots. */
  snapshotEvery: z.number().int().positive().default(100),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})
export type RegistrySettings = z.infer<typeof RegistrySettings>
