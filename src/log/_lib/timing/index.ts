/** Timing parameters of the log in milliseconds (docs/design.md, section 9). */
export const timing = {
  minElectionTimeoutMs: 300,
  maxElectionTimeoutMs: 600,
  /** Longest sync of a vote at the other voters that a candidate allows for. */
  maxVoteSyncMs: 1_000,
  heartbeatMs: 75,
  probeMs: 100,
  /** A replica that is not a voter asks to be added again after this time without contact to a leader. */
  rejoinAfterMs: 1_200,
  /** A voter asks to be added again after this time without contact to a leader, because it may have been replaced. */
  voterRejoinAfterMs: 2_500,
  /** A voter that has not replied for this time is replaced by a learner, if there is one. */
  replaceAfterMs: 1_500,
  /** A learner that has not replied for this time is removed. It asks to be added again once it can reach the group. */
  removeLearnerAfterMs: 10_000,
  /** A snapshot that is not acknowledged is resent after this time. */
  snapshotRetryMs: 3_000
} as const
