import { z } from 'zod'

const Index = z.number().int().nonnegative()
const Cost = z.number().nonnegative()

/**
 * @name RouterBatchMessage
 * @category Contract
 * @summary Body of `q`: a router tells its scheduler what changed since the last batch.
 *
 * @description
 * `[session, lastGrantId, operations]`. Operations: `[0, number, name]` defines a number for a name on this connection;
 * `[1, account, service, waiting, estimate, prefixHash?, excluded?]` backlog; `[2, id, cost, isFailure?]` release;
 * `[3, id]` decline; `[4, id, cost]` progress; `[5, id, estimate]` start. An empty batch is a heartbeat.
 *
 * @example
 * RouterBatchMessage.parse([1, 0, [[0, 1, 'quotes'], [0, 2, 'llama'], [1, 1, 2, 5, 300]]])
 */
export const RouterBatchMessage = z.tuple([Index, Index, z.array(z.union([
  z.tuple([z.literal(0), Index, z.string()]),
  z.tuple([z.literal(1), Index, Index, Index, Cost, z.number().nullish(), z.array(Index).optional()]),
  z.tuple([z.literal(2), Index, Cost, z.literal(1).optional()]),
  z.tuple([z.literal(3), Index]),
  z.tuple([z.literal(4), Index, Cost]),
  z.tuple([z.literal(5), Index, Cost])
]))])
export type RouterBatchMessage = z.infer<typeof RouterBatchMessage>
