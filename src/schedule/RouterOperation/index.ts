/**
 * @name RouterOperation
 * @category Schedule
 * @summary One item of a batch that a router sends to the scheduler of its zone.
 *
 * @description
 * `backlog`: requests of an account that wait in the router, as an absolute count. `estimate`: their mean
 * estimate, because several may be granted at once. `prefixHash`: of the oldest one. `excluded`: targets that none of them may use. `release`: a request ended; `cost` is the actual cost.
 * `decline`: a grant was not used. `start`: the request that uses the grant has another estimate than the grant. `progress`: cost of a running request so far.
 *
 * @example
 * const operation: RouterOperation = { type: 'release', id: 17, cost: 120, isHealthy: true }
 */
export type RouterOperation =
  | { type: 'backlog', account: string, service: string, waiting: number, estimate: number, prefixHash?: number, excluded?: readonly string[] }
  | { type: 'release', id: number, cost: number, isHealthy: boolean }
  | { type: 'decline', id: number }
  | { type: 'start', id: number, estimate: number }
  | { type: 'progress', id: number, cost: number }
