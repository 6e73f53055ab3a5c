import type { GrantBatchMessage } from '../../contract/GrantBatchMessage'
import { encodeCost } from '../_lib/encodeCost'
import type { GrantOperation } from '../GrantOperation'
import type { NameEncoder } from '../NameEncoder'

type WireOperation = GrantBatchMessage[1][number]

function encodeGrant (grant: GrantOperation, names: NameEncoder): WireOperation {
  const { id, lentBy } = grant
  const estimate = encodeCost(grant.estimate)
  const [account, service, target] = [grant.account, grant.service, grant.target].map(name => names.getNumber(name))
  if (lentBy) return [2, id, account, service, target, estimate, names.getNumber(lentBy.zone), lentBy.id]
  return [1, id, account, service, target, estimate]
}

/**
 * @name encodeGrants
 * @category Schedule
 * @summary Encodes grants for a router in positional form.
 *
 * @param session - Session of the router.
 * @param grants - The grants.
 * @param names - Encoder for the names on the connection.
 * @returns Body of a `g` message.
 *
 * @example
 * link.send('g', encodeGrants(1, grants, names))
 */
export function encodeGrants (session: number, grants: readonly GrantOperation[], names: NameEncoder): GrantBatchMessage {
  const operations = grants.map(grant => encodeGrant(grant, names))
  return [session, [...names.takeDefinitions(), ...operations]]
}
