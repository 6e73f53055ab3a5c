import { z } from 'zod'

const Index = z.number().int().nonnegative()

/**
 * @name GrantBatchMessage
 * @category Contract
 * @summary Body of `g`: a scheduler gives slots to a router of its zone.
 *
 * @description
 * `[session, operations]`. Operations: `[0, number, name]` defines a number for a name on this connection;
 * `[1, id, account, service, target, estimate]` grants a slot;
 * `[2, id, account, service, target, estimate, zone, lendId]` grants a slot that another zone lent. Session 0 without
 * operations asks the router to register.
 *
 * @example
 * GrantBatchMessage.parse([1, [[0, 1, 'quotes'], [0, 2, 'llama'], [0, 3, 'e1'], [1, 17, 1, 2, 3, 300]]])
 */
export const GrantBatchMessage = z.tuple([Index, z.array(z.union([
  z.tuple([z.literal(0), Index, z.string()]),
  z.tuple([z.literal(1), Index, Index, Index, Index, z.number()]),
  z.tuple([z.literal(2), Index, Index, Index, Index, z.number(), Index, Index])
]))])
export type GrantBatchMessage = z.infer<typeof GrantBatchMessage>
