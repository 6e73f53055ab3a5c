import { z } from 'zod'

const NonNegativeInt = z.number().int().nonnegative()
const Cost = z.number()

/**
 * @name ExchangeMessage
 * @category Contract
 * @summary Message `x`: account totals, backlogs and lent slots, exchanged by the schedulers of two zones.
 *
 * @description
 * `[term, session, echoedSession, lastLendId, operations]`: term of the sender in its zone, the sender's session with
 * the receiver, the newest session of the receiver that the sender knows, and the id of the newest slot that the sender
 * received as lent by the receiver. Services, accounts and targets are given by the numbers that the sender defined on
 * the connection. Costs are in tokens or calls.
 *
 * @example
 * ExchangeMessage.parse([1, 1, 1, 0, [[3, 1000001]]])
 */
export const ExchangeMessage = z.tuple([NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt, z.array(z.union([
  /** `[0, number, name]` defines a number for a name on this connection. */
  z.tuple([z.literal(0), NonNegativeInt, z.string()]),
  /**
   * `[1, service, account, total, outstanding, waiting, lift, estimate?]`: absolute values of an account in the
   * sender's zone. `total` is settled cost, `outstanding` the estimated cost of running requests, `waiting` the number
   * of waiting requests, `lift` is added to the account's normalised service, and `estimate` is the cost of the next
   * request.
   */
  z.tuple([z.literal(1), NonNegativeInt, NonNegativeInt, Cost, Cost, NonNegativeInt, Cost, Cost.optional()]),
  /** `[2, id, service, account, target]` lends a slot of the sender's zone. */
  z.tuple([z.literal(2), NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt]),
  /** `[3, id]` declines a lent slot. */
  z.tuple([z.literal(3), NonNegativeInt]),
  /** `[4, id, cost, isFailure?]` returns a lent slot. `isFailure` is 1 if the request counts as a target failure. */
  z.tuple([z.literal(4), NonNegativeInt, Cost, z.literal(1).optional()]),
  /** `[5, id, cost]`: cost so far of the request on a lent slot. */
  z.tuple([z.literal(5), NonNegativeInt, Cost]),
  /** `[6]`: a full report of all accounts follows; values that are not in it are zero. */
  z.tuple([z.literal(6)]),
  /** `[7, id, service, account, target, cost]`: a lent slot that is still in use. */
  z.tuple([z.literal(7), NonNegativeInt, NonNegativeInt, NonNegativeInt, NonNegativeInt, Cost]),
  /** `[8, service, account, total]`: the sender's copy of the receiver's total. */
  z.tuple([z.literal(8), NonNegativeInt, NonNegativeInt, Cost]),
  /**
   * `[9, service, account, outstanding, waiting]`: usage, the short form of operation 1, sent while the lift is
   * unchanged and the total and estimate last sent are close enough. `outstanding` includes the cost settled since the
   * total was sent.
   */
  z.tuple([z.literal(9), NonNegativeInt, NonNegativeInt, Cost, NonNegativeInt])
]))])
export type ExchangeMessage = z.infer<typeof ExchangeMessage>
