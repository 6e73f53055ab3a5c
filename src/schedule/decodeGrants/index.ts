import { GrantBatchMessage } from '../../contract/GrantBatchMessage'
import type { GrantOperation } from '../GrantOperation'
import type { NameDecoder } from '../NameDecoder'

type WireOperation = GrantBatchMessage[1][number]

function decodeGrant (wire: Exclude<WireOperation, [0, ...unknown[]]>, names: NameDecoder): GrantOperation {
  const [code, id, account, service, target, estimate] = wire
  const grant = { id, account: names.get(account), service: names.get(service), target: names.get(target), estimate }
  return code === 1 ? grant : { ...grant, lentBy: { zone: names.get(wire[6]), id: wire[7] } }
}

/**
 * @name decodeGrants
 * @category Schedule
 * @summary Decodes the body of a `g` message: grants for a router.
 *
 * @param body - Body of the message.
 * @param names - Names that the scheduler defined on the connection.
 * @returns Session for which the grants are valid, and the grants.
 * @throws ZodError if the body does not match the schema; AppError `frame-invalid` if the body refers to a name by a
 *   number that was not defined on the connection.
 *
 * @example
 * const { session, grants } = decodeGrants(body, names)
 */
export function decodeGrants (body: unknown, names: NameDecoder): { session: number, grants: GrantOperation[] } {
  const [session, wires] = GrantBatchMessage.parse(body)
  const grants: GrantOperation[] = []
  for (const wire of wires) {
    if (wire[0] === 0) names.set(wire[1], wire[2])
    else grants.push(decodeGrant(wire, names))
  }
  return { session, grants }
}
