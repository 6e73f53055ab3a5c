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
 * @description
 * `http`: the operator API. `link`: where other instances connect. `replicas`: the initial voters, this one included.
 * `dataDir`: the only directory that it writes to. `bootstrapToken`: operator token that is accepted while no operator
 * is defined in the settings. `snapshotEvery`: log records between snapshots.
 *
 * @example
 * ControlSettings.parse({ instance: 'c1', zone: 'perth-a', http: { host: '127.0.0.1', port: 8090 }, link: { host: '127.0.0.1', port: 7100 }, clusterKey: 'k'.repeat(16), replicas: [], dataDir: '/var/lib/papayalead' })
 */
export const ControlSettings = z.strictObject({
  instance: Name,
  zone: Name,
  http: ListenAddress,
  link: ListenAddress,
  clusterKey: z.string().min(16),
  replicas: z.array(PeerAddress),
  dataDir: z.string().min(1),
  bootstrapToken: z.string().min(16).optional(),
  snapshotEvery: z.number().int().positive().default(DEFAULT_SNAPSHOT_EVERY),
  traceFile: z.string().optional(),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})
export type ControlSettings = z.infer<typeof ControlSettings>
