import type { RouterBatchMessage } from '../../contract/RouterBatchMessage'
import { encodeCost } from '../_lib/encodeCost'
import type { NameEncoder } from '../NameEncoder'
import type { RouterBatch } from '../RouterBatch'
import type { RouterOperation } from '../RouterOperation'

type WireOperation = RouterBatchMessage[2][number]

function encodeBacklog (operation: Extract<RouterOperation, { type: 'backlog' }>, names: NameEncoder): WireOperation {
  const { account, service, waiting, estimate, prefixHash, excluded } = operation
  const wire: WireOperation = [1, names.getNumber(account), names.getNumber(service), waiting, encodeCost(estimate)]
  if (prefixHash !== undefined || excluded) wire.push(prefixHash ?? null)
  if (excluded) wire.push(excluded.map(target => names.getNumber(target)))
  return wire
}

function encodeOperation (operation: RouterOperation, names: NameEncoder): WireOperation {
  switch (operation.type) {
    case 'backlog': return encodeBacklog(operation, names)
    case 'release': return operation.isHealthy ? [2, operation.id, encodeCost(operation.cost)] : [2, operation.id, encodeCost(operation.cost), 1]
    case 'decline': return [3, operation.id]
    case 'start': return [5, operation.id, encodeCost(operation.estimate)]
    case 'progress': return [4, operation.id, encodeCost(operation.cost)]
  }
}

/**
 * @name encodeRouterBatch
 * @category Schedule
 * @summary Encodes a router's batch in positional form.
 *
 * @param batch - The batch.
 * @param names - Encoder for the names on the connection.
 * @returns Body of a `q` message.
 *
 * @example
 * link.send('q', encodeRouterBatch(batch, names))
 */
export function encodeRouterBatch (batch: RouterBatch, names: NameEncoder): RouterBatchMessage {
  const operations = batch.operations.map(operation => encodeOperation(operation, names))
  return [batch.session, batch.lastGrantId, [...names.takeDefinitions(), ...operations]]
}
