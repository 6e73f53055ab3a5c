/** Times of the log in milliseconds (docs/design.md, section 9). */
export const timing = {
  minElectionTimeoutMs: 300,
  maxElectionTimeoutMs: 600,
  heartbeatMs: 75,
  probeMs: 100,
  /** A replica that is no voter and hears from no leader for this time asks to be added again. */
  rejoinAfterMs: 1_200,
  /** A snapshot that is not acknowledged is sent again after this time. */
  snapshotRetryMs: 3_000
} as const
