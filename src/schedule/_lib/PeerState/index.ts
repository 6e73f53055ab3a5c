import type { AccountReporter } from '../AccountReporter'
import type { LentRecord } from '../LentRecord'

/** Last known state of the scheduler of another zone. */
export interface PeerState {
  zone: string
  instance: string
  term: number
  /** Session number in the peer's last message, 0 before the first. If it changes, the peer needs a full report. */
  peerSession: number
  /**
   * Session number that this scheduler sends to the peer; it grows by 1 when the peer sends again after a time-out.
   * Slots that the peer lent in an earlier session are refused.
   */
  ownSession: number
  lastHeardAtMs: number
  lastSentAtMs: number
  isTimedOut: boolean
  /** Whether the next exchange has to send the peer a full report. */
  needsFullReport: boolean
  /** Whether the peer has sent a full report. Slots are lent only after that. */
  hasSentFullReport: boolean
  /** Id of the newest loan received from the peer. */
  lastLendId: number
  /** Id of the next loan to the peer. */
  nextLendId: number
  /** Slots of this zone that are lent to the peer's zone, by id of the loan. */
  lentSlots: Map<number, LentRecord>
  reporter: AccountReporter
  /** Accounts whose values changed since the last exchange, by service. */
  changedAccounts: Map<string, Set<string>>
}
