import { z } from 'zod'
import { Name } from '../Name'

/**
 * @name ZoneHelloMessage
 * @category Contract
 * @summary Message `zoneHello`: a router announces itself and the scheduler that it follows.
 *
 * @description
 * `[startedAt, term, scheduler]`. `startedAt` is the wall-clock time of the process start in milliseconds; it only
 * determines the order of the routers. `scheduler` is null while none is known.
 *
 * @example
 * ZoneHelloMessage.parse([1770000000000, 3, 'r1'])
 */
export const ZoneHelloMessage = z.tuple([z.number(), z.number().int().nonnegative(), Name.nullable()])
export type ZoneHelloMessage = z.infer<typeof ZoneHelloMessage>
