import type { QuorumStatus } from '../../../contract/QuorumStatus'
import type { LogStatus } from '../../../log/LogStatus'

/** State of the settings log in the form that operators see. */
export function createQuorumStatus (status: LogStatus): QuorumStatus {
  const { role, leader, term, commitOffset, isSettled, members } = status
  const replicas = members.map(({ instance, kind, lag }) => ({ instance, isVoter: kind === 'voter', lag }))
  return { role, leader, term, commitOffset, isSettled, replicas }
}
