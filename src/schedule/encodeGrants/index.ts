import type { GrantBatchMessage } from '../../contract/GrantBatchMessage'
import type { GrantOperation } from '../GrantOperation'
import type { NameEncoder } from '../NameEncoder'

type WireOperation = GrantBatchMessage[1][number]

function encodeGrant (grant: GrantOperation, names: NameEncoder): WireOperation {
  const { id, expiresInMs, afterId, lentBy } = grant
  const [account, service, target] = [grant.account, grant.service, grant.target].map(name => names.getNumber(name))
  if (lentBy) return [2, id, account, service, target, expiresInMs, names.getNumber(lentBy.zone), lentBy.id]
  return afterId === undefined ? [1, id, account, service, target, expiresInMs] : [1, id, account, service, target, expiresInMs, afterId]
}

/**
 * @name encodeGrants
 * @category Schedule
 * @summary Grants for a router in their positional form.
 *
 * @param session - Session of the router.
 * @param grants - The grants.
 * @param names - Numbers of names on the connection.
 * @returns Body of a `grant` message.
 *
 * @example
 * link.send('grant', encodeGrants(1, grants, names))
 */
export function encodeGrants (session: number, grants: readonly GrantOperation[], names: NameEncoder): GrantBatchMessage {
  const operations = grants.map(grant => encodeGrant(grant, names))
  return [session, [...names.takeDefinitions(), ...operations]]
}
