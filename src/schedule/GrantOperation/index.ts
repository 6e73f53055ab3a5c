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
   * Announced cost that the scheduler assumed for the request. The router reports the estimate of the request that it
   * starts if that differs.
   */
  estimate: number
  /** Zone that lent the slot, and the id of the lend there. */
  lentBy?: { zone: string, id: number }
}
