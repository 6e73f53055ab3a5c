import type { GrantOperation } from '../GrantOperation'
import type { PeerOperation } from '../PeerOperation'
import type { RouterReport } from '../RouterReport'

/**
 * @name SchedulerEffect
 * @category Schedule
 * @summary Action that the owner of a zone scheduler has to carry out. Effects are carried out in order.
 *
 * @example
 * for (const effect of scheduler.tick(nowMs)) run(effect)
 */
export type SchedulerEffect =
  /** Send a grant to a router. */
  | { type: 'grant', router: string, session: number, grant: GrantOperation }
  /** Send an operation to the scheduler of another zone, or a heartbeat if there is no operation. */
  | { type: 'peer', zone: string, operation?: PeerOperation }
  /** Send ledger entries to the routers of the scheduler's zone. */
  | { type: 'replicate', ledger: RouterReport['ledger'] }
