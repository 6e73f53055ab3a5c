import { z } from 'zod'

/**
 * @name OperatorRequest
 * @category Contract
 * @summary A request to the operator API.
 *
 * @description
 * `path` is without the query. `body` is the parsed JSON. `token` is the bearer token of the operator.
 *
 * @example
 * OperatorRequest.parse({ method: 'GET', path: '/v1/status', query: {}, token: 'secret' })
 */
export const OperatorRequest = z.object({
  method: z.enum(['GET', 'POST']),
  path: z.string(),
  query: z.record(z.string(), z.string()),
  body: z.unknown().optional(),
  token: z.string().optional()
})
export type OperatorRequest = z.infer<typeof OperatorRequest>
