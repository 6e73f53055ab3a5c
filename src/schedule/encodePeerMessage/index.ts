import type { ExchangeMessage } from '../../contract/ExchangeMessage'
import { encodeCost } from '../_lib/encodeCost'
import type { NameEncoder } from '../NameEncoder'
import type { PeerMessage } from '../PeerMessage'
import type { PeerOperation } from '../PeerOperation'

type WireOperation = ExchangeMessage[4][number]

function encodeAccount (operation: Extract<PeerOperation, { type: 'account' }>, names: NameEncoder): WireOperation {
  const { service, account, total, outstanding, waiting, lift, estimate } = operation
  // The message has the number of waiting requests between the outstanding cost and the lift.
  const costs = [total, outstanding, lift].map(cost => encodeCost(cost))
  const wire: WireOperation = [1, names.getNumber(service), names.getNumber(account), costs[0], costs[1], waiting, costs[2]]
  if (estimate !== undefined) wire.push(encodeCost(estimate))
  return wire
}

function encodeOperation (operation: PeerOperation, names: NameEncoder): WireOperation {
  const getNumber = (name: string): number => names.getNumber(name)
  switch (operation.type) {
    case 'full': return [6]
    case 'account': return encodeAccount(operation, names)
    case 'usage': return [9, getNumber(operation.service), getNumber(operation.account), encodeCost(operation.outstanding), operation.waiting]
    case 'copy': return [8, getNumber(operation.service), getNumber(operation.account), encodeCost(operation.total)]
    case 'held': return [7, operation.id, getNumber(operation.service), getNumber(operation.account), getNumber(operation.target), encodeCost(operation.cost)]
    case 'lend': return [2, operation.id, getNumber(operation.service), getNumber(operation.account), getNumber(operation.target)]
    case 'lendDeclined': return [3, operation.id]
    case 'lendProgress': return [5, operation.id, encodeCost(operation.cost)]
    case 'lendReturned': return operation.isHealthy ? [4, operation.id, encodeCost(operation.cost)] : [4, operation.id, encodeCost(operation.cost), 1]
  }
}

/**
 * @name encodePeerMessage
 * @category Schedule
 * @summary Encodes a message between the schedulers of two zones in positional form.
 *
 * @param message - The message.
 * @param names - Encoder for the names on the connection.
 * @returns Body of an `x` message.
 *
 * @example
 * link.send('x', encodePeerMessage(message, names))
 */
export function encodePeerMessage (message: PeerMessage, names: NameEncoder): ExchangeMessage {
  const { term, session, echoedSession, lastLendId } = message
  const operations = message.operations.map(operation => encodeOperation(operation, names))
  return [term, session, echoedSession, lastLendId, [...names.takeDefinitions(), ...operations]]
}
