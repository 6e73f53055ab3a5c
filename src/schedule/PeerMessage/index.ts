import type { PeerOperation } from '../PeerOperation'

/**
 * @name PeerMessage
 * @category Schedule
 * @summary Message between the schedulers of two zones. Without operations it is a heartbeat.
 *
 * @example
 * const message: PeerMessage = { term: 1, session: 1, echoedSession: 0, lastLendId: 0, operations: [] }
 */
export interface PeerMessage {
  /** Term of the sender in its zone. */
  term: number
  /** The sender's session with the receiver. */
  session: number
  /** The receiver's session, as last known to the sender. If it is outdated, lent slots in the message are refused. */
  echoedSession: number
  /** Id of the newest loan that the sender has received from the receiver. */
  lastLendId: number
  operations: PeerOperation[]
}
