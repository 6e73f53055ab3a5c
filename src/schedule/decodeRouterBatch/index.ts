import { RouterBatchMessage } from '../../contract/RouterBatchMessage'
import type { NameDecoder } from '../NameDecoder'
import type { RouterBatch } from '../RouterBatch'
import type { RouterOperation } from '../RouterOperation'

type WireOperation = RouterBatchMessage[2][number]

function decodeOperation (wire: Exclude<WireOperation, [0, ...unknown[]]>, names: NameDecoder): RouterOperation {
  switch (wire[0]) {
    case 1: return {
      type: 'backlog',
      account: names.get(wire[1]),
      service: names.get(wire[2]),
      waiting: wire[3],
      estimate: wire[4],
      prefixHash: wire[5] ?? undefined,
      excluded: wire[6]?.map(target => names.get(target))
    }
    case 2: return { type: 'release', id: wire[1], cost: wire[2], isHealthy: wire[3] !== 1 }
    case 3: return { type: 'decline', id: wire[1] }
    case 5: return { type: 'start', id: wire[1], estimate: wire[2] }
    case 4: return { type: 'progress', id: wire[1], cost: wire[2] }
  }
}

/**
 * @name decodeRouterBatch
 * @category Schedule
 * @summary Decodes the body of a `q` message: a router's batch for its scheduler.
 *
 * @param body - Body of the message.
 * @param names - Names that the router defined on the connection.
 * @returns The batch.
 * @throws ZodError if the body does not match the schema; AppError `frame-invalid` if the body refers to a name by a
 *   number that was not defined on the connection.
 *
 * @example
 * const batch = decodeRouterBatch(body, names)
 */
export function decodeRouterBatch (body: unknown, names: NameDecoder): RouterBatch {
  const [session, lastGrantId, wireOperations] = RouterBatchMessage.parse(body)
  const operations: RouterOperation[] = []
  for (const wire of wireOperations) {
    if (wire[0] === 0) names.set(wire[1], wire[2])
    else operations.push(decodeOperation(wire, names))
  }
  return { session, lastGrantId, operations }
}
