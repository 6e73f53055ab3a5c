import type { SettingsTree } from '../../../configuration/SettingsTree'
import type { ObserverReport } from '../../../contract/ObserverReport'
import type { OperatorRequest } from '../../../contract/OperatorRequest'
import type { LogTask } from '../../../log/LogTask'
import type { TargetCommandSender } from '../../../target/TargetCommandSender'
import type { FleetStatusTable } from '../../FleetStatusTable'

/** A request of an authenticated operator and the parts of the control process that serve it. */
export interface OperatorCall {
  instance: string
  tree: SettingsTree
  getLog: () => Pick<LogTask, 'propose' | 'confirmRead' | 'getStatus' | 'commitOffset'>
  collectReports: () => Promise<ObserverReport[]>
  fleet: FleetStatusTable
  commands: Pick<TargetCommandSender, 'run'>
  operator: { name: string, subtrees: readonly string[] }
  request: OperatorRequest
}
