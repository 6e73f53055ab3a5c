/**
 * @name RoleChangeReason
 * @category Log
 * @summary Why the role of a replica, or the leader that it knows, changed.
 *
 * @example
 * const reason: RoleChangeReason = 'election-timeout'
 */
export type RoleChangeReason =
  /** No message of a leader arrived within the election timeout. */
  | 'election-timeout'
  /** A majority would grant a vote, so an election begins. */
  | 'pre-vote-won'
  | 'vote-won'
  /** A leader has had no reply from a majority within the maximum election timeout. */
  | 'quorum-lost'
  /** Another replica is in a higher term. */
  | 'higher-term'
  /** A message of a leader arrived. */
  | 'leader-found'
