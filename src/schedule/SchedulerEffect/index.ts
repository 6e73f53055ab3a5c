import type { GrantOperation } from '../GrantOperation'
import type { PeerOperation } from '../PeerOperation'
import type { RouterReport } from '../RouterReport'

/**
 * @name SchedulerEffect
 * @category Schedule
 * @summary What the owner of a zone scheduler has to do, in order.
 *
 * @description
 * `grant`: send to a router. `peer`: send to the scheduler of another zone; without an operation it is a heartbeat.
 * `replicate`: send ledger entries to the routers of the own zone.
 *
 * @example
 * for (const effect of scheduler.tick(nowMs)) run(effect)
 */
export type SchedulerEffect =
  | { type: 'grant', router: string, session: number, grant: GrantOperation }
  | { type: 'peer', zone: string, operation?: PeerOperation }
  | { type: 'replicate', ledger: RouterReport['ledger'] }
