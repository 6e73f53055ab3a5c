import { z } from 'zod'

/**
 * @name Operator
 * @category Contract
 * @summary Value of `/fleet/operators/<name>`: the token digest of an operator and the subtrees it may change.
 *
 * @example
 * Operator.parse({ tokenHash: '0'.repeat(64), subtrees: ['/teams/sales'] })
 */
export const Operator = z.strictObject({
  /** SHA-256 digest of the operator's token, in hexadecimal. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest as 64 lower-case hexadecimal digits'),
  /** Subtrees of the settings that the operator may change; `/` means all. */
  subtrees: z.array(z.string().startsWith('/')).min(1)
})
export type Operator = z.infer<typeof Operator>
