/**
 * @name PeerOperation
 * @category Schedule
 * @summary One item of a message between the schedulers of two zones.
 *
 * @description
 * `account`: absolute values of the sender's zone; `estimate` is the cost of the next request.
 * `full`: a report of all accounts follows; what is not in it is zero.
 * `usage`: the short form while total and lift of the last `account` still serve; `outstanding` then includes what was
 * settled since. `copy`: the sender's copy of the receiver's total. `held`: a lent slot that is still in use. `lend`: a slot of the
 * sender for a request of the receiver's zone. `lendDeclined`, `lendProgress` (an absolute charge), `lendReturned`: what became of a slot
 * that the receiver lent.
 *
 * @example
 * const operation: PeerOperation = { type: 'lendReturned', id: 3, cost: 120, isHealthy: true }
 */
export type PeerOperation =
  | { type: 'full' }
  | { type: 'account', service: string, account: string, total: number, outstanding: number, waiting: number, lift: number, estimate?: number }
  | { type: 'usage', service: string, account: string, outstanding: number, waiting: number }
  | { type: 'copy', service: string, account: string, total: number }
  | { type: 'held', id: number, service: string, account: string, target: string, cost: number }
  | { type: 'lend', id: number, service: string, account: string, target: string }
  | { type: 'lendDeclined', id: number }
  | { type: 'lendProgress', id: number, cost: number }
  | { type: 'lendReturned', id: number, cost: number, isHealthy: boolean }
