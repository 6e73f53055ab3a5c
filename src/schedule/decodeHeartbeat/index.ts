import { ZoneHeartbeatMessage } from '../../contract/ZoneHeartbeatMessage'
import type { NameDecoder } from '../NameDecoder'
import type { RouterReport } from '../RouterReport'

/**
 * @name decodeHeartbeat
 * @category Schedule
 * @summary The content of a `h` message.
 *
 * @param body - Body of the message.
 * @param names - Names that the scheduler defined on the connection.
 * @returns Term, whether the scheduler leaves, ledger entries that changed.
 * @throws ZodError if the body has another form; AppError `frame-invalid` if a number was not defined.
 *
 * @example
 * const { term } = decodeHeartbeat(body, names)
 */
export function decodeHeartbeat (body: unknown, names: NameDecoder): { term: number, isLeaving: boolean, ledger: RouterReport['ledger'] } {
  const [term, isLeaving, wires] = ZoneHeartbeatMessage.parse(body)
  const ledger: RouterReport['ledger'] = []
  for (const wire of wires) {
    if (wire[0] === 0) names.set(wire[1], wire[2])
    else ledger.push({ service: names.get(wire[1]), account: names.get(wire[2]), zone: names.get(wire[3]), total: wire[4], lift: wire[5] })
  }
  return { term, isLeaving: isLeaving === 1, ledger }
}
