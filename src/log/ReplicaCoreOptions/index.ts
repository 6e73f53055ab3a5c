import type { LogEntry } from '../../contract/LogEntry'
import type { LogSnapshot } from '../../contract/LogSnapshot'
import type { ReplicaVote } from '../../contract/ReplicaVote'

/**
 * @name ReplicaCoreOptions
 * @category Log
 * @summary What a ReplicaCore starts from.
 *
 * @description
 * `vote`, `snapshot` and `entries` are what was loaded from the disk; entries up to the snapshot's offset are left
 * out. `peers`: the other instances that the cluster is formed from. `random`: numbers in [0, 1). `createClusterId`:
 * called once, when this replica forms a new cluster. `nowMs`: monotonic. `mayForm`: whether this replica may form a
 * cluster (default) or only join one. `maxVoters`: lets learners of other instances replace lost voters, and lets the
 * voters grow to this number; without it only a replica of the same instance replaces a voter.
 *
 * @example
 * const core = new ReplicaCore({ vote, entries: [], peers: ['c2', 'c3'], random: Math.random, createClusterId: randomUUID, nowMs: performance.now() })
 */
export interface ReplicaCoreOptions {
  vote: ReplicaVote
  snapshot?: Omit<LogSnapshot, 'state'>
  entries: readonly LogEntry[]
  peers: readonly string[]
  random: () => number
  createClusterId: () => string
  nowMs: number
  mayForm?: boolean
  maxVoters?: number
}
