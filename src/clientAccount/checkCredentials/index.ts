import type { SettingsView } from '../../configuration/SettingsView'
import { AppError } from '../../contract/AppError'
import type { ClientAccount } from '../../contract/ClientAccount'
import { hashKey } from '../hashKey'

const BEARER = /^Bearer (\S+)$/i

/**
 * @name checkCredentials
 * @category Client account
 * @summary Finds the client account that a caller's credentials belong to.
 *
 * @param authorization - Value of the `Authorization` header.
 * @param view - Settings with the accounts.
 * @returns The account with its name.
 * @throws AppError `unauthenticated` if the header is missing or no account has this key.
 *
 * @example
 * const account = checkCredentials('Bearer secret', view)
 */
export function checkCredentials (authorization: string | undefined, view: SettingsView): ClientAccount & { name: string } {
  const match = BEARER.exec(authorization ?? '')
  if (!match) throw new AppError('unauthenticated', 'The Authorization header with a bearer key is missing.')
  const account = view.findAccountByKeyHash(hashKey(match[1]))
  if (!account) throw new AppError('unauthenticated', 'No client account has this key.')
  return account
}
