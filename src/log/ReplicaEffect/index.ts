import type { LogEntry } from '../../contract/LogEntry'
import type { LogSnapshot } from '../../contract/LogSnapshot'
import type { ReplicaMessage } from '../../contract/ReplicaMessage'
import type { ReplicaVote } from '../../contract/ReplicaVote'
import type { ReplicaRole } from '../ReplicaRole'

/**
 * @name ReplicaEffect
 * @category Log
 * @summary What the owner of a ReplicaCore must do, in the order of the effects.
 *
 * @description
 * `saveVote` and `installSnapshot` are durable before the next effect runs. `append` is queued: entries are written in
 * the order of the effects, and the owner calls `handleSynced(sequence)` once they are durable, so that many appends
 * can share one sync. `sendSnapshot` asks the owner to send its newest saved snapshot. `apply` names the offset up to
 * which entries are committed.
 *
 * @example
 * for (const effect of core.tick(nowMs)) run(effect)
 */
export type ReplicaEffect =
  | { type: 'saveVote', vote: ReplicaVote }
  | { type: 'installSnapshot', snapshot: LogSnapshot }
  | { type: 'append', sequence: number, entries: LogEntry[] }
  | { type: 'send', message: ReplicaMessage }
  | { type: 'sendSnapshot', from: string, to: string, term: number, clusterId: string | undefined }
  | { type: 'apply', offset: number }
  | { type: 'readReady', id: number, offset: number }
  | { type: 'readFailed', id: number }
  | { type: 'roleChanged', role: ReplicaRole, term: number, leader: string | undefined }
