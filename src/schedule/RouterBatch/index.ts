import type { RouterOperation } from '../RouterOperation'

/**
 * @name RouterBatch
 * @category Schedule
 * @summary Operations that a router sends to its scheduler in one message. An empty batch is a heartbeat.
 *
 * @example
 * const batch: RouterBatch = { session: 1, lastGrantId: 0, operations: [] }
 */
export interface RouterBatch {
  /** Session in which the router registered. */
  session: number
  /** Id of the newest grant that the router has received. */
  lastGrantId: number
  operations: RouterOperation[]
}
