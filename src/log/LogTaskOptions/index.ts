import type { AppError } from '../../contract/AppError'
import type { LogStorage } from '../LogStorage'
import type { ReplicaTransport } from '../ReplicaTransport'
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
  /** See ReplicaCoreOptions. */
  mayForm?: boolean
  /** See ReplicaCoreOptions. */
  maxVoters?: number
  /** Called once when the disk fails or the log is corrupted. The process must then exit. */
  onFatal: (error: AppError) => void
  /** Reports role changes for the operator's log. */
  onRoleChanged?: (change: { role: string, term: number, leader: string | undefined }) => void
}
