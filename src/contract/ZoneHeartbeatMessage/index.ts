import { z } from 'zod'

const NonNegativeInt = z.number().int().nonnegative()

/**
 * @name ZoneHeartbeatMessage
 * @category Contract
 * @summary Message `h`: heartbeat of a zone's scheduler to the routers of the zone.
 *
 * @description
 * `[term, isLeaving, operations]`. `isLeaving` is 1 when the scheduler hands over because of a planned stop. Services,
 * accounts and zones are given by the numbers that the sender defined on the connection.
 *
 * @example
 * ZoneHeartbeatMessage.parse([3, 0, []])
 */
export const ZoneHeartbeatMessage = z.tuple([NonNegativeInt, z.union([z.literal(0), z.literal(1)]), z.array(z.union([
  /** `[0, number, name]` defines a number for a name on this connection. */
  z.tuple([z.literal(0), NonNegativeInt, z.string()]),
  /**
   * `[1, service, account, zone, total, lift]`: a ledger entry. `total` is the settled cost of the account in the zone;
   * `lift` is added to the account's normalised service.
   */
  z.tuple([z.literal(1), NonNegativeInt, NonNegativeInt, NonNegativeInt, z.number(), z.number()])
]))])
export type ZoneHeartbeatMessage = z.infer<typeof ZoneHeartbeatMessage>
