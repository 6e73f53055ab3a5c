import { z } from 'zod'

/**
 * @name Operator
 * @category Contract
 * @summary Value of `/fleet/operators/<name>`.
 *
 * @description
 * `tokenHash`: SHA-256 of the token, in hexadecimal. `subtrees`: subtrees that the operator may change; `/` means all.
 *
 * @example
 * Operator.parse({ tokenHash: '0'.repeat(64), subtrees: ['/teams/sales'] })
 */
export const Operator = z.strictObject({
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hexadecimal'),
  subtrees: z.array(z.string().startsWith('/')).min(1)
})
export type Operator = z.infer<typeof Operator>
