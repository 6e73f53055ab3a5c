import type { RouterOperation } from '../RouterOperation'

/**
 * @name RouterBatch
 * @category Schedule
 * @summary What a router tells its scheduler in one message. An empty batch is a heartbeat.
 *
 * @description
 * `session`: the session in which the router registered. `lastGrantId`: newest grant that it had received.
 *
 * @example
 * const batch: RouterBatch = { session: 1, lastGrantId: 0, operations: [] }
 */
export interface RouterBatch {
  session: number
  lastGrantId: number
  operations: RouterOperation[]
}
