import { z } from 'zod'
import { Name } from '../Name'

const DEFAULT_MAX_QUEUED = 200

/**
 * @name ClientAccount
 * @category Contract
 * @summary Value of `/teams/<team>/accounts/<account>`.
 *
 * @description
 * `keyHashes`: SHA-256 of each API key, in hexadecimal. `weight`: share relative to other accounts.
 * `services`: services that the account may call; `*` means all. `maxQueued`: waiting requests for each router.
 *
 * @example
 * ClientAccount.parse({ keyHashes: [], weight: 1, services: ['*'] })
 */
export const ClientAccount = z.strictObject({
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hexadecimal')),
  weight: z.number().positive().max(1000).default(1),
  services: z.array(z.union([Name, z.literal('*')])),
  maxQueued: z.number().int().positive().max(100_000).default(DEFAULT_MAX_QUEUED)
})
export type ClientAccount = z.infer<typeof ClientAccount>
