import { z } from 'zod'

const NonNegativeInt = z.number().int().nonnegative()

/**
 * @name GrantBatchMessage
 * @category Contract
 * @summary Message `g`: a scheduler grants slots of targets to a router of its zone.
 *
 * @description
 * `[session, operations]`. Session 0 without operations asks the router to register. Accounts, services, targets and
 * zones are given by the numbers that the sender defined on the connection. `estimate` is the cost that was charged for
 * the request.
 *
 * @example
 * GrantBatchMessage.parse([1, [[0, 1, 'quotes'], [0, 2, 'llama'], [0, 3, 'e1'], [1, 17, 1, 2, 3, 300]]])
 */
export const GrantBatchMessage = z.tuple([NonNegativeInt, z.array(z.union([
  /** `[0, number, name]` defines a number for a name on this connection. */
  z.tuple([z.literal(0), NonNegativeInt, z.string()]),
  /** `[1, id, account, service, target, estimate]` grants a slot. */
  z.tuple([z.literal(1), NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt, z.number()]),
  /** `[2, id, account, service, target, estimate, zone, lendId]` grants a slot that another zone lent. */
  z.tuple([z.literal(2), NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt, z.number(), NonNegativeInt, NonNegativeInt])
]))])
export type GrantBatchMessage = z.infer<typeof GrantBatchMessage>
