import type { ReplicaRole } from '../ReplicaRole'

/**
 * @name LogStatus
 * @category Log
 * @summary State of one replica of a log group, for operators.
 *
 * @description
 * `leader`: instance that leads, if known. `members`: only the leader knows `lag`, the number of entries that a member
 * has not synced yet. `isSettled`: false while a membership change is not complete; until then the loss of
 * another disk may stop the group. `isMember`: false until this replica has joined.
 *
 * @example
 * const { role, term, leader } = log.getStatus()
 */
export interface LogStatus {
  instance: string
  incarnation: string
  role: ReplicaRole | 'learner'
  term: number
  leader: string | undefined
  commitOffset: number
  lastOffset: number
  isMember: boolean
  isSettled: boolean
  members: Array<{ instance: string, incarnation: string, kind: 'voter' | 'learner', lag: number | undefined }>
}
