import { z } from 'zod'
import { ListenAddress } from '../ListenAddress'
import { Name } from '../Name'
import { PeerAddress } from '../PeerAddress'

const DEFAULT_LAME_DUCK_MS = 5_000
const DEFAULT_STOP_TIMEOUT_MS = 600_000
const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024

/**
 * @name RouterSettings
 * @category Contract
 * @summary Settings file of a router process.
 *
 * @description
 * `http`: where callers connect. `link`: where other instances connect. `control`: the control replicas. `routers`:
 * the other routers, as far as known at start; the platform's list at `membershipUrl` adds to them. `lameDuckMs`: time
 * between the failing readiness check and the close of the listener. `stopTimeoutMs`: most time that running requests
 * get at a stop.
 *
 * @example
 * RouterSettings.parse({ instance: 'r1', zone: 'perth-a', http: { host: '127.0.0.1', port: 8080 }, link: { host: '127.0.0.1', port: 7000 }, clusterKey: 'k'.repeat(16), control: [] })
 */
export const RouterSettings = z.strictObject({
  instance: Name,
  zone: Name,
  http: ListenAddress,
  link: ListenAddress,
  clusterKey: z.string().min(16),
  control: z.array(PeerAddress),
  routers: z.array(PeerAddress).default([]),
  membershipUrl: z.url().optional(),
  maxBodyBytes: z.number().int().positive().default(DEFAULT_MAX_BODY_BYTES),
  lameDuckMs: z.number().int().nonnegative().default(DEFAULT_LAME_DUCK_MS),
  stopTimeoutMs: z.number().int().positive().default(DEFAULT_STOP_TIMEOUT_MS),
  traceFile: z.string().optional(),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})
export type RouterSettings = z.infer<typeof RouterSettings>
