import { z } from 'zod'

/**
 * @name Route
 * @category Contract
 * @summary Which requests go to which services, and what may be done with them.
 *
 * @description
 * A request belongs to the route of its host with the longest `pathPrefix` that begins its path. `kind`: `idempotent`
 * requests may be sent again; `non-idempotent` ones and `stream` responses may not, unless `isResumable` is set.
 * `split`: services and their weights. `timeoutMs`: the longest time until the final answer. `objectiveMs`: the time
 * within which an answer counts as in time (for streams: the first event). `maxAttempts`: targets that may run one
 * request. `isOpen`: no key is needed. `maxPauseMs`: the longest pause between events that counts as in time.
 *
 * @example
 * Route.parse({ name: 'r', host: 'a.example', pathPrefix: '/a/', kind: 'idempotent', timeoutMs: 1000, split: [{ service: 's', weight: 1 }] })
 */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(['idempotent', 'non-idempotent', 'stream']),
  timeoutMs: z.number().positive(),
  objectiveMs: z.number().positive().optional(),
  priority: z.number().default(1),
  split: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).min(1),
  maxAttempts: z.number().int().positive().default(1),
  isOpen: z.boolean().default(false),
  isResumable: z.boolean().default(false),
  maxPauseMs: z.number().positive().optional()
})
export type Route = z.infer<typeof Route>
