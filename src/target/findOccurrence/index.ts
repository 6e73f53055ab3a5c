import { DateTime } from 'luxon'
import type { MaintenanceWindow } from '../../contract/MaintenanceWindow'

interface Occurrence {
  /** Milliseconds since the epoch. */
  startMs: number
  endMs: number
}

/** A window lasts a week at most, so an active one started at most eight calendar days ago. */
const DAYS_BACK = 8
const DAYS_AHEAD = 8

/**
 * @name findOccurrence
 * @category Target
 * @summary Finds the current or next occurrence of a maintenance window.
 *
 * @description
 * The start is a local time. At a daylight saving change, a start that the clock skips moves ahead by the skipped time;
 * if a start occurs twice, the first one counts. The duration is elapsed time.
 *
 * @param window - The weekly window.
 * @param atMs - Milliseconds since the epoch.
 * @returns The earliest occurrence that ends after the given time; undefined for an unknown time zone.
 *
 * @example
 * findOccurrence({ targets: ['r1'], weekday: 1, start: '02:00', durationMinutes: 60, timeZone: 'Australia/Perth' }, Date.now())
 */
export function findOccurrence (window: MaintenanceWindow, atMs: number): Occurrence | undefined {
  const today = DateTime.fromMillis(atMs, { zone: window.timeZone })
  if (!today.isValid) return undefined
  for (let days = -DAYS_BACK; days <= DAYS_AHEAD; days++) {
    const day = today.plus({ days })
    if (day.weekday !== window.weekday) continue
    const startMs = computeStart(day, window.start)
    const endMs = startMs + window.durationMinutes * 60_000
    if (endMs > atMs) return { startMs, endMs }
  }
  return undefined
}

function computeStart (day: DateTime, start: string): number {
  const [hour, minute] = start.split(':').map(Number)
  const local = DateTime.fromObject({ year: day.year, month: day.month, day: day.day, hour, minute }, { zone: day.zoneName ?? 'utc' })
  return Math.min(...local.getPossibleOffsets().map(possible => possible.toMillis()))
}
