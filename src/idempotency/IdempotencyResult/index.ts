import { z } from 'zod'
import { StoredResponse } from '../StoredResponse'

/**
 * @name IdempotencyResult
 * @category Idempotency
 * @summary The result of an idempotency command.
 *
 * @description
 * Values of `status`:
 * - `claimed`: the attempt owns the record and may send.
 * - `running`: another attempt owns the record.
 * - `ended`: the call has ended; `response` is its stored response.
 * - `conflict`: the key belongs to another request.
 * - `session-ended`: the router needs a new session.
 * - `withdrawn`: the attempt must not send.
 * - `done`: the command was accepted.
 * - `refused`: the command had no effect.
 *
 * @example
 * IdempotencyResult.parse({ status: 'claimed' })
 */
export const IdempotencyResult = z.discriminatedUnion('status', [
  z.object({ status: z.enum(['claimed', 'running', 'conflict', 'session-ended', 'withdrawn', 'done', 'refused']) }),
  z.object({ status: z.literal('ended'), response: StoredResponse })
])
export type IdempotencyResult = z.infer<typeof IdempotencyResult>
