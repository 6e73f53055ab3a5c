import { z } from 'zod'

/**
 * @name Outcome
 * @category Contract
 * @summary What is known about a request when its answer is sent.
 *
 * @description
 * `complete`: the target ran the request and the whole answer follows.
 * `not-run`: no byte of the request can have reached a target.
 * `unknown`: the request may have run; its answer is lost.
 *
 * @example
 * Outcome.parse('not-run')
 */
export const Outcome = z.enum(['complete', 'not-run', 'unknown'])
export type Outcome = z.infer<typeof Outcome>
