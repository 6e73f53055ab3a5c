import { z } from 'zod'

/**
 * @name OperatorReply
 * @category Contract
 * @summary Response of the operator API: HTTP status and JSON body.
 *
 * @example
 * OperatorReply.parse({ status: 200, body: { offset: 17 } })
 */
export const OperatorReply = z.object({ status: z.number().int(), body: z.unknown() })
export type OperatorReply = z.infer<typeof OperatorReply>
