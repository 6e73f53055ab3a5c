/**
 * @name LogStatistics
 * @category Log
 * @summary What one replica of a log group has done since its start.
 *
 * @example
 * const { appliedEntries, longestTickDelayMs } = log.statistics
 */
export interface LogStatistics {
  appliedEntries: number
  /** Size of the applied commands in bytes. */
  appliedBytes: number
  /** Time in milliseconds that the longest batch of entries took to apply. */
  longestApplyMs: number
  /** Longest delay in milliseconds of the timer for heartbeats and elections beyond its due time. */
  longestTickDelayMs: number
}
