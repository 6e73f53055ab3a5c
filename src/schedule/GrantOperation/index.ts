/**
 * @name GrantOperation
 * @category Schedule
 * @summary A slot of a target that the scheduler gives to a request of an account in a router.
 *
 * @description
 * `id` is unique for the router. `estimate`: the announced cost that was charged; the router reports the
 * one of the request that it starts, if that differs. `lentBy`: the zone that lent the
 * slot, and its number for it.
 *
 * @example
 * const grant: GrantOperation = { id: 17, account: 'quotes', service: 'llama', target: 'e1', estimate: 300 }
 */
export interface GrantOperation {
  id: number
  account: string
  service: string
  target: string
  estimate: number
  lentBy?: { zone: string, id: number }
}
