import { z } from 'zod'
import { LogMembers } from '../LogMembers'

/**
 * @name LogSnapshot
 * @category Contract
 * @summary State of a log group that replaces its entries up to and including an offset.
 *
 * @example
 * LogSnapshot.parse({ offset: 5, term: 1, members: { clusterId: 'x', voters: [], learners: [] }, state: new Uint8Array() })
 */
export const LogSnapshot = z.object({
  /** Offset of the last entry that the snapshot replaces. */
  offset: z.number().int().nonnegative(),
  /** Term of the entry at `offset`. */
  term: z.number().int().nonnegative(),
  /** Replicas of the group as of `offset`. */
  members: LogMembers,
  /** State of the state machine, encoded as CBOR. */
  state: z.custom<Uint8Array>(value => value instanceof Uint8Array)
})
export type LogSnapshot = z.infer<typeof LogSnapshot>
