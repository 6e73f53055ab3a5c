import type { ZoneHeartbeatMessage } from '../../contract/ZoneHeartbeatMessage'
import { encodeCost } from '../_lib/encodeCost'
import type { NameEncoder } from '../NameEncoder'
import type { RouterReport } from '../RouterReport'

/**
 * @name encodeHeartbeat
 * @category Schedule
 * @summary Encodes a scheduler's heartbeat to the routers of its zone in positional form.
 *
 * @param heartbeat - Term, whether the scheduler is leaving, ledger entries that changed.
 * @param names - Encoder for the names on the connection.
 * @returns Body of an `h` message.
 *
 * @example
 * link.send('h', encodeHeartbeat({ term: 1, isLeaving: false, ledger: [] }, names))
 */
export function encodeHeartbeat (heartbeat: { term: number, isLeaving: boolean, ledger: RouterReport['ledger'] }, names: NameEncoder): ZoneHeartbeatMessage {
  const entries = heartbeat.ledger.map(({ service, account, zone, total, lift }): ZoneHeartbeatMessage[2][number] =>
    [1, names.getNumber(service), names.getNumber(account), names.getNumber(zone), encodeCost(total), encodeCost(lift)])
  return [heartbeat.term, heartbeat.isLeaving ? 1 : 0, [...names.takeDefinitions(), ...entries]]
}
