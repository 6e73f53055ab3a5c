import type { AppError } from '../../contract/AppError'
import type { LogStorage } from '../LogStorage'
import type { ReplicaTransport } from '../ReplicaTransport'
import type { StateMachine } from '../StateMachine'

/**
 * @name LogTaskOptions
 * @category Log
 * @summary What a LogTask needs.
 *
 * @description
 * `peers`: the other instances of the cluster. `snapshotEvery`: entries between snapshots. `onFatal`: called once when
 * the disk fails or the log is corrupted; the process must end. `onRoleChanged`: for the operator's log. `mayForm` and
 * `maxVoters` are those of ReplicaCoreOptions.
 *
 * @example
 * const options: LogTaskOptions = { storage, machine, transport, peers: [], snapshotEvery: 1000, onFatal: error => process.exit(9) }
 */
export interface LogTaskOptions {
  storage: LogStorage
  machine: StateMachine
  transport: ReplicaTransport
  peers: readonly string[]
  snapshotEvery: number
  mayForm?: boolean
  maxVoters?: number
  onFatal: (error: AppError) => void
  onRoleChanged?: (change: { role: string, term: number, leader: string | undefined }) => void
}
