/**
 * @name GrantOperation
 * @category Schedule
 * @summary Grant of one slot of a target to a request of an account in a router.
 *
 * @example
 * const grant: GrantOperation = { id: 17, account: 'quotes', service: 'llama', target: 'e1', estimate: 300 }
 */
export interface GrantOperation {
  /** Unique for the router. */
  id: number
  account: string
  service: string
  target: string
  /**
   * Cost that the scheduler assumed for the request: the estimate that the router reported for its waiting requests of
   * the account. If the request that uses the grant has another estimate, the router reports that estimate.
   */
  estimate: number
  /** Zone that lent the slot, and the id of the loan there. */
  lentBy?: { zone: string, id: number }
}
