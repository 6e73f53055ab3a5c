import { z } from 'zod'

const NonNegativeInt = z.number().int().nonnegative()
const Cost = z.number().nonnegative()

/**
 * @name RouterBatchMessage
 * @category Contract
 * @summary Message `q`: changes of a router since its last batch, sent to the scheduler of its zone.
 *
 * @description
 * `[session, lastGrantId, operations]`: the session in which the router registered, and the id of the newest grant that
 * it has received. An empty batch is a heartbeat. Accounts, services and targets are given by the numbers that the
 * sender defined on the connection. `id` is that of a grant; `cost` and `estimate` are in tokens or calls.
 *
 * @example
 * RouterBatchMessage.parse([1, 0, [[0, 1, 'quotes'], [0, 2, 'llama'], [1, 1, 2, 5, 300]]])
 */
export const RouterBatchMessage = z.tuple([NonNegativeInt, NonNegativeInt, z.array(z.union([
  /** `[0, number, name]` defines a number for a name on this connection. */
  z.tuple([z.literal(0), NonNegativeInt, z.string()]),
  /**
   * `[1, account, service, waiting, estimate, prefixHash?, excluded?]`: backlog of an account. `waiting` is the number
   * of its requests, `estimate` their mean cost, `prefixHash` that of the oldest one, and `excluded` the targets that
   * none of them may use.
   */
  z.tuple([z.literal(1), NonNegativeInt, NonNegativeInt, NonNegativeInt, Cost, z.number().nullish(), z.array(NonNegativeInt).optional()]),
  /** `[2, id, cost, isFailure?]` releases a slot; `isFailure` is 1 if the request counts as a failure of the target. */
  z.tuple([z.literal(2), NonNegativeInt, Cost, z.literal(1).optional()]),
  /** `[3, id]` declines a grant. */
  z.tuple([z.literal(3), NonNegativeInt]),
  /** `[4, id, cost]`: cost so far of a running request. */
  z.tuple([z.literal(4), NonNegativeInt, Cost]),
  /** `[5, id, estimate]`: the request that uses the grant has another estimate than the grant. */
  z.tuple([z.literal(5), NonNegativeInt, Cost])
]))])
export type RouterBatchMessage = z.infer<typeof RouterBatchMessage>
