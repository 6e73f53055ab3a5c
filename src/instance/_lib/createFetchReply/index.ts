import type { FetchLogReply } from '../../../contract/FetchLogReply'
import type { FetchLogRequest } from '../../../contract/FetchLogRequest'
import type { ReplicatedLog } from '../../../log/ReplicatedLog'
import type { StateMachine } from '../../../log/StateMachine'

/**
 * Reply to an observer's long poll: the log entries after its offset, or a snapshot if these entries are truncated, and
 * how old the data may be.
 */
export async function createFetchReply (log: ReplicatedLog, stateMachine: StateMachine, request: FetchLogRequest): Promise<FetchLogReply> {
  await log.waitForCommit(request.offset, request.waitMs)
  const entries = log.listEntries(request.offset, request.maxEntries)
  const { commitOffset } = log
  const ageMs = Math.min(log.ageMs, Number.MAX_SAFE_INTEGER)
  if (entries) return { entries, commitOffset, ageMs }
  return { entries: [], snapshot: { offset: commitOffset, state: stateMachine.getState() }, commitOffset, ageMs }
}
