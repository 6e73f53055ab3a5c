/** Timing parameters of the log in milliseconds (docs/design.md, section 9). */
export const timing = {
  minElectionTimeoutMs: 300,
  maxElectionTimeoutMs: 600,
  /** A leader that has led for this long is stable: if it fails, the next one is elected after the usual timeouts. */
  stableLeaderMs: 5_000,
  /** Longest election timeouts, as a multiple of the usual ones. */
  maxElectionBackoff: 4,
  /**
   * After a vote was saved, the next election is postponed by a multiple of the duration of that sync, so that the other
   * voters have time for theirs. A longer duration counts as this value.
   */
  maxVoteSyncMs: 1_000,
  heartbeatMs: 75,
  /** Delay of a timer beyond its due time that is reported: half of the shortest election timeout. */
  lateTickMs: 150,
  probeMs: 100,
  /** A replica that is not a voter asks to be added again after this time without contact with a leader. */
  rejoinAfterMs: 1_200,
  /** A voter asks to be added again after this time without contact with a leader, because it may have been replaced. */
  voterRejoinAfterMs: 2_500,
  /** A voter that has not replied for this time is replaced by a learner, if there is one. */
  replaceAfterMs: 1_500,
  /** A learner that has not replied for this time is removed. It asks to be added again once it can reach the group. */
  removeLearnerAfterMs: 10_000,
  /** A snapshot that is not acknowledged is resent after this time. */
  snapshotRetryMs: 3_000
} as const
