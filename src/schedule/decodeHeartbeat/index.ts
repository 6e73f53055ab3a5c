import { ZoneHeartbeatMessage } from '../../contract/ZoneHeartbeatMessage'
import type { NameDecoder } from '../NameDecoder'
import type { RouterReport } from '../RouterReport'

/**
 * @name decodeHeartbeat
 * @category Schedule
 * @summary Decodes the body of an `h` message: a scheduler's heartbeat to the routers of its zone.
 *
 * @param body - Body of the message.
 * @param names - Names that the scheduler defined on the connection.
 * @returns Term, whether the scheduler is leaving, ledger entries that changed.
 * @throws ZodError if the body does not match the schema; AppError `frame-invalid` if the body refers to a name by a
 *   number that was not defined on the connection.
 *
 * @example
 * const { term } = decodeHeartbeat(body, names)
 */
export function decodeHeartbeat (body: unknown, names: NameDecoder): { term: number, isLeaving: boolean, ledger: RouterReport['ledger'] } {
  const [term, isLeaving, wireEntries] = ZoneHeartbeatMessage.parse(body)
  const ledger: RouterReport['ledger'] = []
  for (const wire of wireEntries) {
    if (wire[0] === 0) names.set(wire[1], wire[2])
    else ledger.push({ service: names.get(wire[1]), account: names.get(wire[2]), zone: names.get(wire[3]), total: wire[4], lift: wire[5] })
  }
  return { term, isLeaving: isLeaving === 1, ledger }
}
