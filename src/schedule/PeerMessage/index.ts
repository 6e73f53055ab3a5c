import type { PeerOperation } from '../PeerOperation'

/**
 * @name PeerMessage
 * @category Schedule
 * @summary Message between the schedulers of two zones. Without operations it is a heartbeat.
 *
 * @description
 * `term`: term of the sender in its zone. `session`: the sender's session towards the receiver. `echoedSession`: the
 * receiver's session, as far as the sender knows it; lends are void if it is outdated. `lastLendId`: newest lend of the
 * receiver that the sender had received.
 *
 * @example
 * const message: PeerMessage = { term: 1, session: 1, echoedSession: 0, lastLendId: 0, operations: [] }
 */
export interface PeerMessage {
  term: number
  session: number
  echoedSession: number
  lastLendId: number
  operations: PeerOperation[]
}
