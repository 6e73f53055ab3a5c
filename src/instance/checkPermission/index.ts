import { AppError } from '../../contract/AppError'

/**
 * @name checkPermission
 * @category Instance
 * @summary Checks that an operator may change each path.
 *
 * @param operator - Name and subtrees of the operator.
 * @param paths - Paths of the change.
 * @throws AppError `forbidden` with the first path that is not in a subtree of the operator.
 *
 * @example
 * checkPermission({ name: 'ann', subtrees: ['/teams/sales'] }, ['/teams/sales/drains/r1'])
 */
export function checkPermission (operator: { name: string, subtrees: readonly string[] }, paths: readonly string[]): void {
  const isAllowed = (path: string): boolean => operator.subtrees.some(subtree => subtree === '/' || path === subtree || path.startsWith(`${subtree}/`))
  const refused = paths.find(path => !isAllowed(path))
  if (refused !== undefined) throw new AppError('forbidden', `The operator ${operator.name} may not change ${refused}.`, { details: { path: refused } })
}
