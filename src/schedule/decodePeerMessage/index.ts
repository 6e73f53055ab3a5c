import { ExchangeMessage } from '../../contract/ExchangeMessage'
import type { NameDecoder } from '../NameDecoder'
import type { PeerMessage } from '../PeerMessage'
import type { PeerOperation } from '../PeerOperation'

type WireOperation = ExchangeMessage[4][number]

function decodeOperation (wire: Exclude<WireOperation, [0, ...unknown[]]>, names: NameDecoder): PeerOperation {
  switch (wire[0]) {
    case 1: return { type: 'account', service: names.get(wire[1]), account: names.get(wire[2]), total: wire[3], outstanding: wire[4], waiting: wire[5], lift: wire[6], estimate: wire[7] }
    case 2: return { type: 'lend', id: wire[1], service: names.get(wire[2]), account: names.get(wire[3]), target: names.get(wire[4]) }
    case 3: return { type: 'lendDeclined', id: wire[1] }
    case 4: return { type: 'lendReturned', id: wire[1], cost: wire[2], isHealthy: wire[3] !== 1 }
    case 5: return { type: 'lendProgress', id: wire[1], cost: wire[2] }
    case 6: return { type: 'full' }
    case 7: return { type: 'held', id: wire[1], service: names.get(wire[2]), account: names.get(wire[3]), target: names.get(wire[4]), cost: wire[5] }
    case 9: return { type: 'usage', service: names.get(wire[1]), account: names.get(wire[2]), outstanding: wire[3], waiting: wire[4] }
    case 8: return { type: 'copy', service: names.get(wire[1]), account: names.get(wire[2]), total: wire[3] }
  }
}

/**
 * @name decodePeerMessage
 * @category Schedule
 * @summary Decodes the body of an `x` message: a message from the scheduler of another zone.
 *
 * @param body - Body of the message.
 * @param names - Names that the peer defined on the connection.
 * @returns The message.
 * @throws ZodError if the body does not match the schema; AppError `frame-invalid` if the body refers to a name by a
 *   number that was not defined on the connection.
 *
 * @example
 * const message = decodePeerMessage(body, names)
 */
export function decodePeerMessage (body: unknown, names: NameDecoder): PeerMessage {
  const [term, session, echoedSession, lastLendId, wires] = ExchangeMessage.parse(body)
  const operations: PeerOperation[] = []
  for (const wire of wires) {
    if (wire[0] === 0) names.set(wire[1], wire[2])
    else operations.push(decodeOperation(wire, names))
  }
  return { term, session, echoedSession, lastLendId, operations }
}
