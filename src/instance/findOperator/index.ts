import { timingSafeEqual } from 'node:crypto'
import { hashKey } from '../../clientAccount/hashKey'
import type { SettingsTree } from '../../configuration/SettingsTree'
import { AppError } from '../../contract/AppError'
import { Operator } from '../../contract/Operator'

interface OperatorIdentity {
  name: string
  /** Subtrees that the operator may change; `/` means all. */
  subtrees: readonly string[]
}

interface FindOperatorOptions {
  tree: SettingsTree
  /** Accepted only while no operator is defined in the settings. */
  bootstrapToken?: string
}

const OPERATORS_PATH = '/fleet/operators'

/**
 * @name findOperator
 * @category Instance
 * @summary Finds the operator that a token belongs to.
 *
 * @param token - Bearer token, if any.
 * @param options - Settings with the operators, and the bootstrap token.
 * @returns Name and subtrees of the operator.
 * @throws AppError `unauthenticated` if no operator has this token.
 *
 * @example
 * const operator = findOperator(token, { tree })
 */
export function findOperator (token: string | undefined, options: FindOperatorOptions): OperatorIdentity {
  if (token === undefined) throw new AppError('unauthenticated', 'The Authorization header with an operator token is missing.')
  const hash = hashKey(token)
  let hasOperators = false
  for (const [path, value] of options.tree.list(OPERATORS_PATH)) {
    hasOperators = true
    const { tokenHash, subtrees } = Operator.parse(value)
    if (isEqual(tokenHash, hash)) return { name: path.slice(OPERATORS_PATH.length + 1), subtrees }
  }
  const isBootstrap = !hasOperators && options.bootstrapToken !== undefined && isEqual(hashKey(options.bootstrapToken), hash)
  if (isBootstrap) return { name: 'bootstrap', subtrees: ['/'] }
  throw new AppError('unauthenticated', 'No operator has this token.')
}

function isEqual (a: string, b: string): boolean {
  return timingSafeEqual(Buffer.from(a), Buffer.from(b))
}
