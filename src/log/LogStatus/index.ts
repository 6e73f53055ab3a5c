import type { ReplicaRole } from '../ReplicaRole'

/**
 * @name LogStatus
 * @category Log
 * @summary State of one replica of a log group, for operators.
 *
 * @example
 * const { role, term, leader } = log.getStatus()
 */
export interface LogStatus {
  instance: string
  incarnation: string
  role: ReplicaRole | 'learner'
  term: number
  /** Instance of the leader, if known. */
  leader: string | undefined
  commitOffset: number
  lastOffset: number
  /** Whether the newest members in this replica's log include it: false before it has joined and after its removal. */
  isMember: boolean
  /** False while a membership change is not complete. Until then the loss of another disk may stop the group. */
  isSettled: boolean
  /** `lag` is the number of entries that a member has not synced yet. Only the leader knows it. */
  members: Array<{ instance: string, incarnation: string, kind: 'voter' | 'learner', lag: number | undefined }>
}
