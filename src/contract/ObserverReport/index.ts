import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name ObserverReport
 * @category Contract
 * @summary How far an observer of the settings log is.
 *
 * @description
 * `offset`: newest offset that the observer has applied. `ageMs`: time since the observer reported, as far as the
 * sender knows; relays add it, so that a report that passes through a relay isn't taken for a fresh one.
 *
 * @example
 * ObserverReport.parse({ instance: 'r1', incarnation: 'a1', zone: 'perth-a', offset: 17, ageMs: 0 })
 */
export const ObserverReport = z.object({
  instance: Name,
  incarnation: z.string().min(1).max(64),
  zone: Name,
  offset: z.number().int().nonnegative(),
  ageMs: z.number().nonnegative()
})
export type ObserverReport = z.infer<typeof ObserverReport>
