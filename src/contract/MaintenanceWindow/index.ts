import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name MaintenanceWindow
 * @category Contract
 * @summary Value of `/teams/<team>/windows/<window>`: a weekly period in which targets are drained.
 *
 * @example
 * MaintenanceWindow.parse({ targets: ['runner-1'], weekday: 1, start: '02:00', durationMinutes: 60, timeZone: 'Australia/Perth' })
 */
export const MaintenanceWindow = z.strictObject({
  /** Targets that are drained. */
  targets: z.array(Name).min(1),
  /** Day on which the period starts, from 1 (Monday) to 7 (Sunday). */
  weekday: z.number().int().min(1).max(7),
  /** Local time `HH:MM` in `timeZone` at which the period starts. */
  start: z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'expected a time from 00:00 to 23:59 as HH:MM'),
  durationMinutes: z.number().int().positive().max(7 * 24 * 60),
  /** IANA name of a time zone. */
  timeZone: z.string().refine(isTimeZone, 'expected the IANA name of a time zone, such as Australia/Perth')
})
export type MaintenanceWindow = z.infer<typeof MaintenanceWindow>

function isTimeZone (name: string): boolean {
  try {
    return new Intl.DateTimeFormat('en', { timeZone: name }) !== undefined
  } catch {
    return false
  }
}
