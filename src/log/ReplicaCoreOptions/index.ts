import type { LogEntry } from '../../contract/LogEntry'
import type { LogSnapshot } from '../../contract/LogSnapshot'
import type { ReplicaVote } from '../../contract/ReplicaVote'

/**
 * @name ReplicaCoreOptions
 * @category Log
 * @summary Initial state and settings of a ReplicaCore.
 *
 * @description
 * `vote`, `snapshot` and `entries` are loaded from the disk.
 *
 * @example
 * const core = new ReplicaCore({ vote, entries: [], peers: ['c2', 'c3'], random: Math.random, createClusterId: randomUUID, nowMs: performance.now() })
 */
export interface ReplicaCoreOptions {
  vote: ReplicaVote
  snapshot?: Omit<LogSnapshot, 'state'>
  /** Entries after the snapshot. */
  entries: readonly LogEntry[]
  /** The other instances that form a new cluster with this one. */
  peers: readonly string[]
  /** Returns random numbers in [0, 1). */
  random: () => number
  /** Called once, when this replica forms a new cluster. */
  createClusterId: () => string
  /** Current monotonic time. */
  nowMs: number
  /** Whether this replica may form a new cluster (default) or may only join an existing one. */
  mayForm?: boolean
  /**
   * Lets learners of other instances replace lost voters, and lets the number of voters grow to this limit. Without it,
   * only a replica of the same instance replaces a voter.
   */
  maxVoters?: number
}
