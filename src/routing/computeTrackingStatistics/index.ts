import type { TrackedCall } from '../TrackedCall'

interface TrackingStatistics {
  placed: number
  adopted: number
  /** Calls whose target has not read the prompt. */
  unread: number
  /** Age of the oldest call, 0 without calls. */
  oldestMs: number
  /** Age that at most one in a hundred calls exceeds, 0 without calls. */
  p99Ms: number
  /** Age of the oldest call whose target has not read the prompt. */
  oldestUnreadMs: number
}

/**
 * @name computeTrackingStatistics
 * @category Routing
 * @summary Counts the calls that a scheduler tracks by the way in which it learnt of them, and computes their ages.
 *
 * @description
 * Calls that are much older than any call lasts have ended without a report to the scheduler. The age of an adopted call
 * counts from its adoption.
 *
 * @param calls - Calls that the scheduler counts as running.
 * @param nowMs - Time in milliseconds of the monotonic clock of the scheduler.
 * @returns Counts, and ages in milliseconds.
 *
 * @example
 * computeTrackingStatistics(scheduler.listCalls(), performance.now()).oldestMs
 */
export function computeTrackingStatistics (calls: readonly TrackedCall[], nowMs: number): TrackingStatistics {
  const ages = calls.map(({ startedMs }) => nowMs - startedMs).sort((a, b) => a - b)
  const unread = calls.filter(({ isRead }) => !isRead)
  const adopted = calls.filter(({ isAdopted }) => isAdopted).length
  return {
    placed: calls.length - adopted,
    adopted,
    unread: unread.length,
    oldestMs: ages.at(-1) ?? 0,
    p99Ms: ages[Math.max(0, Math.ceil(ages.length * 0.99) - 1)] ?? 0,
    oldestUnreadMs: unread.reduce((oldest, { startedMs }) => Math.max(oldest, nowMs - startedMs), 0)
  }
}
