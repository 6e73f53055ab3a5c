import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name MaintenanceWindow
 * @category Contract
 * @summary Value of `/teams/<team>/windows/<window>`: a weekly time in which targets are drained.
 *
 * @description
 * `weekday`: 1 (Monday) to 7 (Sunday). `start`: local time `HH:MM` in `timeZone` (IANA name).
 *
 * @example
 * MaintenanceWindow.parse({ targets: ['runner-1'], weekday: 1, start: '02:00', durationMinutes: 60, timeZone: 'Australia/Perth' })
 */
export const MaintenanceWindow = z.strictObject({
  targets: z.array(Name).min(1),
  weekday: z.number().int().min(1).max(7),
  start: z.string().regex(/^([01]\d|2[0-3]):[0-5]\d$/, 'expected HH:MM'),
  durationMinutes: z.number().int().positive().max(7 * 24 * 60),
  timeZone: z.string().refine(isTimeZone, 'expected an IANA time zone')
})
export type MaintenanceWindow = z.infer<typeof MaintenanceWindow>

function isTimeZone (name: string): boolean {
  try {
    return new Intl.DateTimeFormat('en', { timeZone: name }) !== undefined
  } catch {
    return false
  }
}
