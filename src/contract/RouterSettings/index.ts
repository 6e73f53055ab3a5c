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
 * @example
 * RouterSettings.parse({ instance: 'r1', zone: 'perth-a', http: { host: '127.0.0.1', port: 8080 }, link: { host: '127.0.0.1', port: 7000 }, clusterKey: 'k'.repeat(16), control: [] })
 */
export const RouterSettings = z.strictObject({
  instance: Name,
  zone: Name,
  /** Address on which callers connect. */
  http: ListenAddress,
  /** Address on which links from other instances are accepted. */
  link: ListenAddress,
  /** Shared secret with which the two ends of a link authenticate each other. */
  clusterKey: z.string().min(16),
  /** The control replicas. */
  control: z.array(PeerAddress),
  /** The other routers that are known at start; the platform's list at `membershipUrl` adds to them. */
  routers: z.array(PeerAddress).default([]),
  /** URL of the platform's list of instances. */
  membershipUrl: z.url().optional(),
  /** Largest size of a request's body. */
  maxBodyBytes: z.number().int().positive().default(DEFAULT_MAX_BODY_BYTES),
  /** Milliseconds between the start of failing readiness checks and the close of the listener. */
  lameDuckMs: z.number().int().nonnegative().default(DEFAULT_LAME_DUCK_MS),
  /** Maximum time in milliseconds that running requests get at a stop, `lameDuckMs` included. */
  stopTimeoutMs: z.number().int().positive().default(DEFAULT_STOP_TIMEOUT_MS),
  /** File that spans are written to; without it no spans are recorded. */
  traceFile: z.string().optional(),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info')
})
export type RouterSettings = z.infer<typeof RouterSettings>
