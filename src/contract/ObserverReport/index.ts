import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name ObserverReport
 * @category Contract
 * @summary Newest settings offset that an observer of the settings log has applied.
 *
 * @example
 * ObserverReport.parse({ instance: 'r1', incarnation: 'a1', zone: 'perth-a', offset: 17, ageMs: 0 })
 */
export const ObserverReport = z.object({
  instance: Name,
  /** Random id that the observer's process generated at its start. */
  incarnation: z.string().min(1).max(64),
  zone: Name,
  /** Newest offset that the observer has applied. */
  offset: z.number().int().nonnegative(),
  /**
   * Milliseconds since the observer reported, as far as the sender knows. A relay forwards the age, because otherwise
   * the receiver would take the forwarded report for a fresh one.
   */
  ageMs: z.number().nonnegative()
})
export type ObserverReport = z.infer<typeof ObserverReport>
