import { z } from 'zod'

/**
 * @name AccountShare
 * @category Contract
 * @summary Recent traffic of a client account: row of account, tokens that it requested and tokens that it was served.
 *
 * @description
 * Tokens are counted as computeCallTokens does, and decay exponentially, so that they stand for the last seconds.
 *
 * @example
 * AccountShare.parse(['a', 120_000, 80_000])
 */
export const AccountShare = z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()])
export type AccountShare = z.infer<typeof AccountShare>
