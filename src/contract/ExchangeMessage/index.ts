import { z } from 'zod'

const Index = z.number().int().nonnegative()
const Cost = z.number()

/**
 * @name ExchangeMessage
 * @category Contract
 * @summary Body of `x`: totals, backlogs and lent slots between the schedulers of two zones.
 *
 * @description
 * `[term, session, echoedSession, lastLendId, operations]`. Operations: `[0, number, name]` defines a number for a name
 * on this connection; `[1, service, account, total, outstanding, waiting, lift, estimate?]` account; `[2, id, service, account,
 * target]` lend; `[3, id]` lend declined; `[4, id, cost, isFailure?]` lend returned; `[5, id, cost]` progress; `[6]` full
 * report follows; `[7, id, service, account, target, cost]` lent slot still in use; `[8, service, account, total]` the
 * sender's copy of the receiver's total; `[9, service, account, outstanding, waiting]` usage.
 *
 * @example
 * ExchangeMessage.parse([1, 1, 1, 0, [[3, 1000001]]])
 */
export const ExchangeMessage = z.tuple([Index, Index, Index, Index, z.array(z.union([
  z.tuple([z.literal(0), Index, z.string()]),
  z.tuple([z.literal(1), Index, Index, Cost, Cost, Index, Cost, Cost.optional()]),
  z.tuple([z.literal(2), Index, Index, Index, Index]),
  z.tuple([z.literal(3), Index]),
  z.tuple([z.literal(4), Index, Cost, z.literal(1).optional()]),
  z.tuple([z.literal(5), Index, Cost]),
  z.tuple([z.literal(6)]),
  z.tuple([z.literal(7), Index, Index, Index, Index, Cost]),
  z.tuple([z.literal(8), Index, Index, Cost]),
  z.tuple([z.literal(9), Index, Index, Cost, Index])
]))])
export type ExchangeMessage = z.infer<typeof ExchangeMessage>
