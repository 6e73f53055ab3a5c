import { randomUUID } from 'node:crypto'
import type { z } from 'zod'
import { removeHashes } from '../../../configuration/removeHashes'
import { resolveSubtree } from '../../../configuration/resolveSubtree'
import { AppError } from '../../../contract/AppError'
import type { OperatorChange } from '../../../contract/OperatorChange'
import type { SettingsChange } from '../../../contract/SettingsChange'
import { SettingsChangeResult } from '../../../contract/SettingsChangeResult'
import { checkPermission } from '../../checkPermission'
import type { OperatorCall } from '../OperatorCall'
import { proposeChange } from '../proposeChange'

const HASH_PLACEHOLDER = /"hidden:\d+"/

type AcceptedChange = Extract<z.infer<typeof SettingsChangeResult>, { status: 'accepted' }>

/**
 * Commits a change on behalf of an operator. The change id is prefixed with the operator's name, so that it can't
 * collide with another operator's id.
 */
export async function applyChange (call: Pick<OperatorCall, 'getLog' | 'operator'>, change: OperatorChange): Promise<AcceptedChange> {
  checkPermission(call.operator, change.operations.map(({ path }) => path))
  // Placeholders refer to the stored hashes by index, so they are valid only for the revision that the operator read.
  if (change.expectedRevision === undefined && HASH_PLACEHOLDER.test(JSON.stringify(change.operations))) {
    throw new AppError('invalid-settings', 'A change with placeholders for hidden hashes needs the expected revision.')
  }
  const command: SettingsChange = {
    changeId: `${call.operator.name}/${change.changeId ?? randomUUID()}`,
    subtree: change.subtree ?? resolveSubtree(change.operations[0].path),
    expectedRevision: change.expectedRevision,
    operations: change.operations,
    operator: call.operator.name,
    atMs: Date.now()
  }
  return checkResult(SettingsChangeResult.parse(await proposeChange(call.getLog(), command)))
}

function checkResult (result: SettingsChangeResult): AcceptedChange {
  if (result.status === 'accepted') return result
  if (result.status === 'invalid') {
    throw new AppError('invalid-settings', `${result.path}: ${result.reason}`, { details: { ...result } })
  }
  const values = Object.fromEntries(Object.entries(result.values).map(([path, value]) => [path, removeHashes(value)]))
  throw new AppError('revision-conflict', `The subtree is at revision ${result.revision}.`, { details: { ...result, values } })
}
