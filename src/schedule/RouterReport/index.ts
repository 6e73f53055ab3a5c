import type { RouterOperation } from '../RouterOperation'

/**
 * @name RouterReport
 * @category Schedule
 * @summary Full report with which a router registers with a scheduler that does not know it yet.
 *
 * @example
 * const report: RouterReport = { session: 1, held: [], backlog: [], settled: [], ledger: [] }
 */
export interface RouterReport {
  /** Grows each time the router registers. Grants of an earlier session are void. */
  session: number
  /** Grants in use, with the cost charged so far. `lentBy`: zone that lent the slot, and the id of the loan there. */
  held: Array<{ id: number, account: string, service: string, target: string, charged: number, lentBy?: { zone: string, id: number } }>
  /** Waiting requests by account and service. */
  backlog: Array<Extract<RouterOperation, { type: 'backlog' }>>
  /** Cost of requests that ended while no scheduler was known. */
  settled: Array<{ account: string, service: string, cost: number }>
  /** The router's copy of the ledger. */
  ledger: Array<{ service: string, account: string, zone: string, total: number, lift: number }>
}
