import { z } from 'zod'

const Index = z.number().int().nonnegative()

/**
 * @name ZoneHeartbeatMessage
 * @category Contract
 * @summary Body of `h`: a scheduler tells the routers of its zone that it is in charge.
 *
 * @description
 * `[term, isLeaving, operations]`. `isLeaving` is 1 when the scheduler hands over because of a planned stop. Operations:
 * `[0, number, name]` defines a number for a name on this connection; `[1, service, account, zone, total, lift]` is a
 * ledger entry.
 *
 * @example
 * ZoneHeartbeatMessage.parse([3, 0, []])
 */
export const ZoneHeartbeatMessage = z.tuple([Index, z.union([z.literal(0), z.literal(1)]), z.array(z.union([
  z.tuple([z.literal(0), Index, z.string()]),
  z.tuple([z.literal(1), Index, Index, Index, z.number(), z.number()])
]))])
export type ZoneHeartbeatMessage = z.infer<typeof ZoneHeartbeatMessage>
