import { z } from 'zod'

const DEFAULT_ESTIMATE = 1
const DEFAULT_DEADLINE_MS = 120_000

/**
 * @name Service
 * @category Contract
 * @summary Value of `/teams/<team>/services/<service>`: a pool of targets that answer the same calls.
 *
 * @description
 * `kind`: `completion` for model engines (the service name is the model name), `http` for plain services.
 * `estimate`: cost of a request before it is known, in tokens or calls. `deadlineMs`: limit from arrival to the first
 * byte of the answer.
 *
 * @example
 * Service.parse({ kind: 'http' })
 */
export const Service = z.strictObject({
  kind: z.enum(['completion', 'http']),
  estimate: z.number().positive().default(DEFAULT_ESTIMATE),
  deadlineMs: z.number().int().positive().default(DEFAULT_DEADLINE_MS)
})
export type Service = z.infer<typeof Service>
