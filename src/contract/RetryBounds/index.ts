import { z } from 'zod'

/**
 * @name RetryBounds
 * @category Contract
 * @summary How many arrivals at targets beyond the first of each request the whole fleet may cause.
 *
 * @description
 * In any window of `windowS`, at most `ratio` x the requests + `extra`, per service.
 *
 * @example
 * RetryBounds.parse({ ratio: 0.2, extra: 50, windowS: 10 })
 */
export const RetryBounds = z.object({
  ratio: z.number().nonnegative(),
  extra: z.number().nonnegative(),
  windowS: z.number().positive()
})
export type RetryBounds = z.infer<typeof RetryBounds>
