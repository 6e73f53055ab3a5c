import { z } from 'zod'

/**
 * @name Route
 * @category Contract
 * @summary Selects requests by host and path, and sets how they are routed, retried and timed.
 *
 * @description
 * A request belongs to the route of its host with the longest `pathPrefix` that its path begins with.
 *
 * @example
 * Route.parse({ name: 'r', host: 'a.example', pathPrefix: '/a/', kind: 'idempotent', timeoutMs: 1000, split: [{ service: 's', weight: 1 }] })
 */
export const Route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  /**
   * `idempotent` requests may be retried; `non-idempotent` ones and `stream` responses may not, unless `isResumable` is
   * set.
   */
  kind: z.enum(['idempotent', 'non-idempotent', 'stream']),
  /** Longest time in milliseconds until the final response. */
  timeoutMs: z.number().positive(),
  /** Latency objective: milliseconds within which a response, or the first event of a stream, counts as in time. */
  objectiveMs: z.number().positive().optional(),
  priority: z.number().default(1),
  /** Services among which the requests are distributed, with their relative weights. */
  split: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).min(1),
  /** Maximum number of targets that may run one request. */
  maxAttempts: z.number().int().positive().default(1),
  /** Whether callers need no API key. */
  isOpen: z.boolean().default(false),
  /** Whether a stream that broke off may be resumed. */
  isResumable: z.boolean().default(false),
  /** Longest pause in milliseconds between two events with which a stream counts as in time. */
  maxPauseMs: z.number().positive().optional()
})
export type Route = z.infer<typeof Route>
