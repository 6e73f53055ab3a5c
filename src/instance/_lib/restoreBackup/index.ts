import { isDeepStrictEqual } from 'node:util'
import { resolveSubtree } from '../../../configuration/resolveSubtree'
import type { SettingsBackup } from '../../../contract/SettingsBackup'
import { applyChange } from '../applyChange'
import type { OperatorCall } from '../OperatorCall'

const MAX_OPERATIONS = 500

interface RestoreResult {
  changes: number
  set: number
  deleted: number
  offset: number
}

type Operations = Parameters<typeof applyChange>[1]['operations']

/**
 * Replaces the settings with a backup. Deletions are applied first, because names of accounts, services and targets are
 * unique across teams and one may have moved to another team since the backup. Operators are applied last, new values
 * before deletions, so that a partly applied request can be repeated with the same token.
 */
export async function restoreBackup (call: OperatorCall, backup: SettingsBackup, changeId: string): Promise<RestoreResult> {
  const deleted = [...call.tree.list('/')].filter(([path]) => !(path in backup.values)).map(([path]) => ({ path, value: null }))
  const set = Object.entries(backup.values)
    .filter(([path, value]) => !isDeepStrictEqual(call.tree.get(path), value))
    .map(([path, value]) => ({ path, value }))
  const isOperator = ({ path }: { path: string }): boolean => path.startsWith('/fleet/operators/')
  const steps: Operations[] = [
    ...batchOperations(deleted.filter(operation => !isOperator(operation))),
    ...batchOperations(set.filter(operation => !isOperator(operation))),
    ...batchOperations([...set, ...deleted].filter(isOperator))
  ]
  let offset = call.tree.offset
  for (const [index, operations] of steps.entries()) {
    const result = await applyChange(call, { changeId: `${changeId}-${index}`, operations })
    offset = result.offset
  }
  return { changes: steps.length, set: set.length, deleted: deleted.length, offset }
}

/** Groups operations into changes: a change is atomic within one subtree and limited in size. */
function batchOperations (operations: Operations): Operations[] {
  const groups = new Map<string, Operations>()
  for (const operation of operations) {
    const subtree = resolveSubtree(operation.path)
    groups.set(subtree, [...groups.get(subtree) ?? [], operation])
  }
  return [...groups.values()].flatMap(group => {
    const count = Math.ceil(group.length / MAX_OPERATIONS)
    return Array.from({ length: count }, (_, index) => group.slice(index * MAX_OPERATIONS, (index + 1) * MAX_OPERATIONS))
  })
}
