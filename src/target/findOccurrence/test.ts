import { DateTime } from 'luxon'
import { findOccurrence } from '.'
import { MaintenanceWindow } from '../../contract/MaintenanceWindow'

const createWindow = (weekday: number, start: string, durationMinutes: number, timeZone: string): MaintenanceWindow => ({ targets: ['t'], weekday, start, durationMinutes, timeZone })
const format = (ms?: number) => ms === undefined ? undefined : DateTime.fromMillis(ms, { zone: 'utc' }).toFormat('yyyy-MM-dd HH:mm')

describe('findOccurrence', () => {
  // Guards against work on a target during its maintenance.
  it.each<[string, MaintenanceWindow, string, [string, string]]>([
    ['a window later today', createWindow(5, '10:00', 60, 'Australia/Perth'), '2026-12-04T01:00Z', ['2026-12-04 02:00', '2026-12-04 03:00']],
    ['a window at its start', createWindow(5, '10:00', 60, 'Australia/Perth'), '2026-12-04T02:00Z', ['2026-12-04 02:00', '2026-12-04 03:00']],
    ['a window that has just ended (the next one is a week later)', createWindow(5, '10:00', 60, 'Australia/Perth'), '2026-12-04T03:00Z', ['2026-12-11 02:00', '2026-12-11 03:00']],
    ['a window that began before midnight', createWindow(4, '23:30', 60, 'Europe/Budapest'), '2026-12-03T23:10Z', ['2026-12-03 22:30', '2026-12-03 23:30']],
    ['a window that began before the end of the week', createWindow(7, '23:00', 180, 'Europe/Budapest'), '2026-12-07T00:30Z', ['2026-12-06 22:00', '2026-12-07 01:00']],
    ['a window of a whole week, at its end', createWindow(1, '00:00', 7 * 24 * 60, 'Europe/Budapest'), '2026-12-06T22:59Z', ['2026-11-29 23:00', '2026-12-06 23:00']],
    ['a window on a weekday that differs from that of UTC', createWindow(1, '06:00', 60, 'Australia/Perth'), '2026-12-06T22:30Z', ['2026-12-06 22:00', '2026-12-06 23:00']],
    ['a window whose start is skipped by the change to summer time', createWindow(7, '02:30', 60, 'Europe/Budapest'), '2026-03-29T00:00Z', ['2026-03-29 01:30', '2026-03-29 02:30']],
    ['a window whose start occurs twice (the first counts)', createWindow(7, '02:30', 60, 'Europe/Budapest'), '2026-10-24T23:00Z', ['2026-10-25 00:30', '2026-10-25 01:30']],
    ['a window across the change to summer time', createWindow(7, '01:00', 120, 'Europe/Budapest'), '2026-03-29T00:30Z', ['2026-03-29 00:00', '2026-03-29 02:00']],
    ['a window a week after the change to winter time', createWindow(7, '10:00', 60, 'Europe/Budapest'), '2026-10-25T12:00Z', ['2026-11-01 09:00', '2026-11-01 10:00']]
  ])('finds the current or next occurrence of %s', (_case, window, at, expected) => {
    const occurrence = findOccurrence(window, Date.parse(at))
    expect([format(occurrence?.startMs), format(occurrence?.endMs)]).toEqual(expected)
  })

  it('refuses a time zone that does not exist, because the targets of such a window would never be drained', () => {
    const window = createWindow(1, '02:00', 60, 'Europe/Atlantis')
    expect(findOccurrence(window, 0)).toBeUndefined()
    expect(MaintenanceWindow.safeParse(window).success).toBe(false)
  })
})
