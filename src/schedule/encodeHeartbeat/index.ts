import type { ZoneHeartbeatMessage } from '../../contract/ZoneHeartbeatMessage'
import { convertCost } from '../_lib/convertCost'
import type { NameEncoder } from '../NameEncoder'
import type { RouterReport } from '../RouterReport'

/**
 * @name encodeHeartbeat
 * @category Schedule
 * @summary A scheduler's heartbeat to the routers of its zone in its positional form.
 *
 * @param heartbeat - Term, whether the scheduler leaves, ledger entries that changed.
 * @param names - Numbers of names on the connection.
 * @returns Body of a `h` message.
 *
 * @example
 * link.send('h', encodeHeartbeat({ term: 1, isLeaving: false, ledger: [] }, names))
 */
export function encodeHeartbeat (heartbeat: { term: number, isLeaving: boolean, ledger: RouterReport['ledger'] }, names: NameEncoder): ZoneHeartbeatMessage {
  const entries = heartbeat.ledger.map(({ service, account, zone, total, lift }): ZoneHeartbeatMessage[2][number] =>
    [1, names.getNumber(service), names.getNumber(account), names.getNumber(zone), convertCost(total), convertCost(lift)])
  return [heartbeat.term, heartbeat.isLeaving ? 1 : 0, [...names.takeDefinitions(), ...entries]]
}
