import { z } from 'zod'

/**
 * @name PlacementProgress
 * @category Contract
 * @summary One-way message `reportProgress` of a router to the scheduler: events of its placement requests.
 *
 * @description
 * Rows of a request id, as in PlacementRequest, an event, and for `read` the milliseconds since the placement as measured by
 * the router. Every event except `read` ends the request.
 *
 * @example
 * PlacementProgress.parse([['7', 'read', 240], ['6', 'ended']])
 */
export const PlacementProgress = z.array(z.tuple([z.string(), z.enum([
  /** The target has read the prompt and sent the first event. */
  'read',
  /** The request no longer runs. */
  'ended',
  /** The target could not be reached. */
  'unreachable',
  /** The response was truncated. */
  'lost',
  /** The caller disconnected while the request waited for its placement. */
  'withdrawn'
]), z.number().nonnegative().optional()]))
export type PlacementProgress = z.infer<typeof PlacementProgress>
