import { z } from 'zod'

/**
 * @name TargetCommandReply
 * @category Contract
 * @summary Result of applying a record of the `commands` log group.
 *
 * @example
 * TargetCommandReply.parse({ status: 'granted', token: 17, mustWait: false })
 */
export const TargetCommandReply = z.discriminatedUnion('status', [
  /**
   * `token` is the fencing token. `mustWait` is true if an earlier command of another sender may still reach the
   * target.
   */
  z.object({ status: z.literal('granted'), token: z.number(), mustWait: z.boolean() }),
  /** The target has a newer intent. */
  z.object({ status: z.literal('superseded') }),
  /** The limits of the weight store are exhausted; a retry may succeed after `retryAfterMs` milliseconds. */
  z.object({ status: z.literal('limited'), retryAfterMs: z.number() }),
  /** Result of a finished command. */
  z.object({ status: z.literal('recorded'), result: z.enum(['done', 'failed', 'unknown']) }),
  z.object({ status: z.literal('invalid'), reason: z.string() })
])
export type TargetCommandReply = z.infer<typeof TargetCommandReply>
