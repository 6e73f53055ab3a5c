import { z } from 'zod'

/**
 * @name PlacementProgress
 * @category Contract
 * @summary One-way message `reportProgress` of a router to the scheduler: events of its placement requests.
 *
 * @description
 * Pairs of a request id, as in PlacementRequest, and an event. Every event except `read` ends the request.
 *
 * @example
 * PlacementProgress.parse([['7', 'read'], ['6', 'ended']])
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
])]))
export type PlacementProgress = z.infer<typeof PlacementProgress>
