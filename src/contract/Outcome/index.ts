import { z } from 'zod'

/**
 * @name Outcome
 * @category Contract
 * @summary Whether a request ran on a target, as far as the router knows when it sends the response.
 *
 * @example
 * Outcome.parse('not-run')
 */
export const Outcome = z.enum([
  /** The target ran the request, and the whole response follows. */
  'complete',
  /** The request did not run: no byte of it reached a target, or a router, control replica or target refused it. */
  'not-run',
  /** The request may have run, and its response is lost. */
  'unknown'
])
export type Outcome = z.infer<typeof Outcome>
