/** Times of the log in milliseconds (docs/design.md, section 9). */
export const timing = {
  minElectionTimeoutMs: 300,
  maxElectionTimeoutMs: 600,
  /** A candidate counts on no slower sync than this at the other voters. */
  maxVoteSyncMs: 1_000,
  heartbeatMs: 75,
  probeMs: 100,
  /** A replica that is no voter and hears from no leader for this time asks to be added again. */
  rejoinAfterMs: 1_200,
  /** A voter that hears from no leader for this time asks too, because it may have been replaced. */
  voterRejoinAfterMs: 2_500,
  /** A voter that is silent for this time is replaced by a learner, if there is one. */
  replaceAfterMs: 1_500,
  /** A learner that is silent for this time is removed. It asks to be added again when it is back. */
  removeLearnerAfterMs: 10_000,
  /** A snapshot that is not acknowledged is sent again after this time. */
  snapshotRetryMs: 3_000
} as const
