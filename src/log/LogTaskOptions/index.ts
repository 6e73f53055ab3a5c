import type { AppError } from '../../contract/AppError'
import type { LogStorage } from '../LogStorage'
import type { ReplicaTransport } from '../ReplicaTransport'
import type { RoleChangeReason } from '../RoleChangeReason'
import type { StateMachine } from '../StateMachine'

/**
 * @name LogTaskOptions
 * @category Log
 * @summary Options of a LogTask.
 *
 * @example
 * const options: LogTaskOptions = { storage, machine, transport, peers: [], snapshotEvery: 1000, onFatal: error => process.exit(9) }
 */
export interface LogTaskOptions {
  storage: LogStorage
  machine: StateMachine
  transport: ReplicaTransport
  /** The other instances of the cluster. */
  peers: readonly string[]
  /** Number of entries between snapshots. */
  snapshotEvery: number
  /**
   * Size in bytes of the commands after which a snapshot is saved even before `snapshotEvery` entries. It bounds what a
   * restart has to apply, the size of the log on disk and that of the entries in memory. Default: 8 MiB.
   */
  snapshotEveryBytes?: number
  /** Whether this replica may form a new cluster (default) or may only join an existing one. */
  mayForm?: boolean
  /**
   * Number of voters up to which learners are promoted. If set, learners of other instances also replace lost voters;
   * otherwise only a replica of the same instance replaces a voter, and the number of voters does not grow.
   */
  maxVoters?: number
  /** Called once when the disk fails or the log is corrupted. The process must then exit. */
  onFatal: (error: AppError) => void
  /** Called when the role of this replica changes, or the leader that it knows. */
  onRoleChanged?: (change: { role: string, term: number, leader: string | undefined, reason: RoleChangeReason }) => void
  /** Called after each batch of committed entries that was applied in one iteration of the event loop. */
  onApplied?: (batch: { entries: number, bytes: number, durationMs: number }) => void
  /**
   * Called when the timer for heartbeats and elections fired late, which means that the process was busy or paused. The
   * other replicas may have elected another leader in the meantime.
   */
  onLateTick?: (delayMs: number) => void
}
