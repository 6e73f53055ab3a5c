import { z } from 'zod'

const DEFAULT_ESTIMATE = 1
const DEFAULT_DEADLINE_MS = 120_000

/**
 * @name Service
 * @category Contract
 * @summary Value of `/teams/<team>/services/<service>`: a pool of targets that serve the same requests.
 *
 * @example
 * Service.parse({ kind: 'http' })
 */
export const Service = z.strictObject({
  /** `completion` for model engines (the service name is the model name), `http` for plain services. */
  kind: z.enum(['completion', 'http']),
  /** Cost of a request before its actual cost is known, in tokens or calls. */
  estimate: z.number().positive().default(DEFAULT_ESTIMATE),
  /** Maximum time in milliseconds from the arrival of a request to the first byte of the response. */
  deadlineMs: z.number().int().positive().default(DEFAULT_DEADLINE_MS)
})
export type Service = z.infer<typeof Service>
