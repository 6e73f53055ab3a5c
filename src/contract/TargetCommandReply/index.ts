import { z } from 'zod'

/**
 * @name TargetCommandReply
 * @category Contract
 * @summary Result of a record of the `commands` log group.
 *
 * @description
 * `granted`: the fencing token; `mustWait` if an earlier command of another sender may still arrive at the target.
 * `superseded`: a newer intent exists. `limited`: the weight store's limits are used up. `recorded`: the result of a
 * finished command.
 *
 * @example
 * TargetCommandReply.parse({ status: 'granted', token: 17, mustWait: false })
 */
export const TargetCommandReply = z.discriminatedUnion('status', [
  z.object({ status: z.literal('granted'), token: z.number(), mustWait: z.boolean() }),
  z.object({ status: z.literal('superseded') }),
  z.object({ status: z.literal('limited'), retryAfterMs: z.number() }),
  z.object({ status: z.literal('recorded'), result: z.enum(['done', 'failed', 'unknown']) }),
  z.object({ status: z.literal('invalid'), reason: z.string() })
])
export type TargetCommandReply = z.infer<typeof TargetCommandReply>
