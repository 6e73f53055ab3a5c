import { z } from 'zod'

/**
 * @name RetryBounds
 * @category Contract
 * @summary Retry budget of the whole fleet: limits the attempts at targets beyond the first of each request.
 *
 * @description
 * In any window of `windowS` seconds, the retries of a service are at most `ratio` x its requests + `extra`.
 *
 * @example
 * RetryBounds.parse({ ratio: 0.2, extra: 50, windowS: 10 })
 */
export const RetryBounds = z.object({
  /** Retries per request. */
  ratio: z.number().nonnegative(),
  /** Retries on top of the share that `ratio` gives. */
  extra: z.number().nonnegative(),
  /** Length of the window in seconds. */
  windowS: z.number().positive()
})
export type RetryBounds = z.infer<typeof RetryBounds>
