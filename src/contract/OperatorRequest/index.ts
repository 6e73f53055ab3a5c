import { z } from 'zod'

/**
 * @name OperatorRequest
 * @category Contract
 * @summary A request to the operator API.
 *
 * @example
 * OperatorRequest.parse({ method: 'GET', path: '/v1/status', query: {}, token: 'secret' })
 */
export const OperatorRequest = z.object({
  method: z.enum(['GET', 'POST']),
  /** Path without the query. */
  path: z.string(),
  query: z.record(z.string(), z.string()),
  /** Parsed JSON body. */
  body: z.unknown().optional(),
  /** Bearer token of the operator. */
  token: z.string().optional()
})
export type OperatorRequest = z.infer<typeof OperatorRequest>
