import { z } from 'zod'
import { Name } from '../Name'

const DEFAULT_MAX_QUEUED = 200

/**
 * @name ClientAccount
 * @category Contract
 * @summary Value of `/teams/<team>/accounts/<account>`: API keys, weight, services and queue limit of an account.
 *
 * @example
 * ClientAccount.parse({ keyHashes: [], weight: 1, services: ['*'] })
 */
export const ClientAccount = z.strictObject({
  /** SHA-256 digest of each API key, in hexadecimal. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest as 64 lower-case hexadecimal digits')),
  /** Share of the capacity relative to the other accounts. */
  weight: z.number().positive().max(1000).default(1),
  /** Services that the account may call; `*` means all. */
  services: z.array(z.union([Name, z.literal('*')])),
  /** Maximum number of requests of the account that may wait in each router. */
  maxQueued: z.number().int().positive().max(100_000).default(DEFAULT_MAX_QUEUED)
})
export type ClientAccount = z.infer<typeof ClientAccount>
