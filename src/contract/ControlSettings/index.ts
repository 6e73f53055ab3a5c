import { z } from 'zod'
import { ListenAddress } from '../ListenAddress'
import { Name } from '../Name'
import { PeerAddress } from '../PeerAddress'

const DEFAULT_SNAPSHOT_EVERY = 1_000

/**
 * @name ControlSettings
 * @category Contract
 * @summary Settings file of a control process.
 *
 * @example
 * ControlSettings.parse({ instance: 'c1', zone: 'perth-a', http: { host: '127.0.0.1', port: 8090 }, link: { host: '127.0.0.1', port: 7100 }, clusterKey: 'k'.repeat(16), replicas: [], dataDir: '/var/lib/papayalead' })
 */
export const ControlSettings = z.strictObject({
  instance: Name,
  zone: Name,
  /** Address of the operator API. */
  http: ListenAddress,
  /** Address on which links from other instances are accepted. */
  link: ListenAddress,
  /** Shared secret with which the two ends of a link authenticate each other. */
  clusterKey: z.string().min(16),
  /** Initial voters of the log groups, this instance included. */
  replicas: z.array(PeerAddress),
  /** The only directory that the process writes to. */
  dataDir: z.string().min(1),
  /** Operator token that is accepted while the settings define no operator. */
  bootstrapToken: z.string().min(16).optional(),
  /** Log entries between snapshots. */
  snapshotEvery: z.number().int().positive().default(DEFAULT_SNAPSHOT_EVERY),
  /** File that spans are written to; without it no spans are recorded. */
  traceFile: z.string().optional(),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})
export type ControlSettings = z.infer<typeof ControlSettings>
