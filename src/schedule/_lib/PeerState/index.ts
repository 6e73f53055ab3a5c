import type { AccountReporter } from '../AccountReporter'
import type { LentRecord } from '../LentRecord'

/** What the scheduler knows about the scheduler of another zone. */
export interface PeerState {
  zone: string
  instance: string
  term: number
  /** The peer's session; a change means that the peer wants a full report. */
  session: number
  /** Own session towards this peer. Lends that were sent for an earlier one are void. */
  ownSession: number
  lastHeardAtMs: number
  lastSentAtMs: number
  isSilent: boolean
  needsFullReport: boolean
  /** Whether the peer has sent a full report. Slots are lent only after that. */
  isReported: boolean
  /** Newest slot that the peer lent. */
  lastLendId: number
  nextLendId: number
  lent: Map<number, LentRecord>
  reporter: AccountReporter
  /** Accounts whose values changed since the last exchange, by service. */
  changed: Map<string, Set<string>>
}
