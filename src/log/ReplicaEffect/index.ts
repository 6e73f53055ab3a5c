import type { LogEntry } from '../../contract/LogEntry'
import type { LogSnapshot } from '../../contract/LogSnapshot'
import type { ReplicaMessage } from '../../contract/ReplicaMessage'
import type { ReplicaVote } from '../../contract/ReplicaVote'
import type { ReplicaRole } from '../ReplicaRole'
import type { RoleChangeReason } from '../RoleChangeReason'

/**
 * @name ReplicaEffect
 * @category Log
 * @summary An operation that the owner of a ReplicaCore must run, in the order in which the effects are yielded.
 *
 * @example
 * for (const effect of core.tick(nowMs)) run(effect)
 */
export type ReplicaEffect =
  /** Must be durable before the next effect runs. */
  | { type: 'saveVote', vote: ReplicaVote }
  /** Must be durable before the next effect runs. */
  | { type: 'installSnapshot', snapshot: LogSnapshot }
  /**
   * Queues entries, which are written in the order of the effects. The owner calls `handleSynced(sequence)` once they
   * are durable, so that many appends can share one sync.
   */
  | { type: 'append', sequence: number, entries: LogEntry[] }
  | { type: 'send', message: ReplicaMessage }
  /** Sends the owner's newest saved snapshot. */
  | { type: 'sendSnapshot', from: string, to: string, term: number, clusterId: string | undefined }
  /** Applies the entries up to this offset, which are committed. */
  | { type: 'apply', offset: number }
  /** A majority has confirmed that this replica leads. The read may run once the entries up to `offset` are applied. */
  | { type: 'readReady', id: number, offset: number }
  /** This replica does not lead, so the read must fail. */
  | { type: 'readFailed', id: number }
  | { type: 'roleChanged', role: ReplicaRole, term: number, leader: string | undefined, reason: RoleChangeReason }
