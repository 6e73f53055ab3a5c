import { AppError } from '../../contract/AppError'

const FLEET_PATH = /^\/fleet(\/|$)/
const TEAM_PATH = /^(\/teams\/[^/]+)(\/|$)/

/**
 * @name resolveSubtree
 * @category Configuration
 * @summary Returns the subtree that a path belongs to.
 *
 * @param path - Path of a setting, for example `/teams/sales/accounts/quotes`.
 * @returns `/fleet` or `/teams/<team>`.
 * @throws AppError `invalid-settings` if the path is in neither kind of subtree.
 *
 * @example
 * resolveSubtree('/teams/sales/accounts/quotes') // '/teams/sales'
 */
export function resolveSubtree (path: string): string {
  if (FLEET_PATH.test(path)) return '/fleet'
  const team = TEAM_PATH.exec(path)
  if (team) return team[1]
  throw new AppError('invalid-settings', `The path ${path} is neither under /fleet nor under /teams/<team>.`)
}
