import type { RouterOperation } from '../RouterOperation'

/**
 * @name RouterReport
 * @category Schedule
 * @summary Everything that a router tells a scheduler that does not know it yet.
 *
 * @description
 * `session` grows each time the router registers; grants of an earlier session are void. `held`: grants in use, with
 * the cost charged so far; `lentBy` names the zone that lent the slot. `settled`: cost of requests that ended while no
 * scheduler was known. `ledger`: the router's copy of the ledger.
 *
 * @example
 * const report: RouterReport = { session: 1, held: [], backlog: [], settled: [], ledger: [] }
 */
export interface RouterReport {
  session: number
  held: Array<{ id: number, account: string, service: string, target: string, charged: number, lentBy?: { zone: string, id: number } }>
  backlog: Array<Extract<RouterOperation, { type: 'backlog' }>>
  settled: Array<{ account: string, service: string, cost: number }>
  ledger: Array<{ service: string, account: string, zone: string, total: number, lift: number }>
}
