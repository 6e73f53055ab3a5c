import { z } from 'zod'
import { LogMembers } from '../LogMembers'

/**
 * @name LogSnapshot
 * @category Contract
 * @summary State of a log group that replaces its entries up to an offset.
 *
 * @description
 * `term`: term of the entry at `offset`. `members`: the replicas as of `offset`. `state`: CBOR bytes of the state
 * machine's state.
 *
 * @example
 * LogSnapshot.parse({ offset: 5, term: 1, members: { clusterId: 'x', voters: [], learners: [] }, state: new Uint8Array() })
 */
export const LogSnapshot = z.object({
  offset: z.number().int().nonnegative(),
  term: z.number().int().nonnegative(),
  members: LogMembers,
  state: z.custom<Uint8Array>(value => value instanceof Uint8Array)
})
export type LogSnapshot = z.infer<typeof LogSnapshot>
