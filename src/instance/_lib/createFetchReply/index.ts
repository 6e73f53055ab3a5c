import type { FetchLogReply } from '../../../contract/FetchLogReply'
import type { FetchLogRequest } from '../../../contract/FetchLogRequest'
import type { ReplicatedLog } from '../../../log/ReplicatedLog'
import type { StateMachine } from '../../../log/StateMachine'

/** Reply to an observer: the entries after its offset, or the whole state if they are truncated, and how old that may be. */
export async function createFetchReply (log: ReplicatedLog, machine: StateMachine, request: FetchLogRequest): Promise<FetchLogReply> {
  await log.waitForCommit(request.offset, request.waitMs)
  const entries = log.listEntries(request.offset, request.maxEntries)
  const { commitOffset } = log
  const ageMs = Math.min(log.ageMs, Number.MAX_SAFE_INTEGER)
  if (entries) return { entries, commitOffset, ageMs }
  return { entries: [], snapshot: { offset: commitOffset, state: machine.getState() }, commitOffset, ageMs }
}
