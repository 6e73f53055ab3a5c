import type { SettingsTree } from '../../../configuration/SettingsTree'
import type { ObserverReport } from '../../../contract/ObserverReport'
import type { OperatorRequest } from '../../../contract/OperatorRequest'
import type { QuorumStatus } from '../../../contract/QuorumStatus'
import type { ReplicatedLog } from '../../../log/ReplicatedLog'
import type { FleetStatusTable } from '../../FleetStatusTable'

/** A request of an authenticated operator and the parts of the control process that serve it. */
export interface OperatorCall {
  instance: string
  tree: SettingsTree
  log: ReplicatedLog
  collectReports: () => Promise<ObserverReport[]>
  fleet: FleetStatusTable
  getQuorum: () => QuorumStatus
  operator: { name: string, subtrees: readonly string[] }
  request: OperatorRequest
}
