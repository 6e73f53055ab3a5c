/**
 * @name RouterOperation
 * @category Schedule
 * @summary One item of a batch that a router sends to the scheduler of its zone.
 *
 * @example
 * const operation: RouterOperation = { type: 'release', id: 17, cost: 120, isHealthy: true }
 */
export type RouterOperation =
  /**
   * Requests of an account that wait in the router. `waiting`: absolute count. `estimate`: mean estimate of the requests,
   * because several may be granted at once. `prefixHash`: prefix hash of the oldest request's prompt. `excluded`: targets
   * that none of the requests may use.
   */
  | { type: 'backlog', account: string, service: string, waiting: number, estimate: number, prefixHash?: number, excluded?: readonly string[] }
  /** A request has ended. `cost`: its actual cost. */
  | { type: 'release', id: number, cost: number, isHealthy: boolean }
  /** A grant was not used. */
  | { type: 'decline', id: number }
  /** The request that uses the grant has a different estimate than the grant. `estimate`: that of the request. */
  | { type: 'start', id: number, estimate: number }
  /** Cost so far of a running request. */
  | { type: 'progress', id: number, cost: number }
