/**
 * @name PeerOperation
 * @category Schedule
 * @summary One item of a message between the schedulers of two zones.
 *
 * @example
 * const operation: PeerOperation = { type: 'lendReturned', id: 3, cost: 120, isHealthy: true }
 */
export type PeerOperation =
  /**
   * A full report follows. Accounts that it does not list have no waiting requests and no outstanding cost. Slots that
   * the receiver lent and that it does not list are no longer in use, if the sender had received them.
   */
  | { type: 'full' }
  /** Absolute values of an account in the sender's zone. `estimate`: expected cost of the next request. */
  | { type: 'account', service: string, account: string, total: number, outstanding: number, waiting: number, lift: number, estimate?: number }
  /**
   * Short form of `account`, used while the lift is unchanged and the total and estimate last sent are close enough.
   * `outstanding` includes the cost settled since the total was sent.
   */
  | { type: 'usage', service: string, account: string, outstanding: number, waiting: number }
  /** The sender's copy of the receiver's total. */
  | { type: 'copy', service: string, account: string, total: number }
  /** A slot that the receiver lent and that is still in use, with the cost charged so far. */
  | { type: 'held', id: number, service: string, account: string, target: string, cost: number }
  /** The sender lends a slot of its zone for a request of the receiver's zone. */
  | { type: 'lend', id: number, service: string, account: string, target: string }
  /** A slot that the receiver lent was not used. */
  | { type: 'lendDeclined', id: number }
  /** Charge so far, as an absolute value, of the request on a slot that the receiver lent. */
  | { type: 'lendProgress', id: number, cost: number }
  /** The request on a slot that the receiver lent has ended. `cost`: its actual cost. */
  | { type: 'lendReturned', id: number, cost: number, isHealthy: boolean }
