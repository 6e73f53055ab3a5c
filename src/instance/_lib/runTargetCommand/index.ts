import { z } from 'zod'
import { AppError } from '../../../contract/AppError'
import { Name } from '../../../contract/Name'
import { Target } from '../../../contract/Target'
import { TargetAction } from '../../../contract/TargetAction'
import { WeightStore } from '../../../contract/WeightStore'
import { checkPermission } from '../../checkPermission'
import type { OperatorCall } from '../OperatorCall'

const CommandBody = z.strictObject({ changeId: z.string().min(1).max(100), target: Name, action: TargetAction })

/**
 * Runs an operator's command on a target. The command id is prefixed with the operator's name, so that it can't collide
 * with another operator's id.
 */
export async function runTargetCommand ({ tree, operator, request, commands }: OperatorCall): Promise<{ target: string, result: 'done' | 'failed' | 'unknown' }> {
  const body = CommandBody.safeParse(request.body)
  if (!body.success) throw new AppError('bad-request', 'The body must have the fields changeId, target and action with valid values, and no others.')
  const { changeId, target: name, action } = body.data
  const entry = [...tree.list('/teams')].find(([path]) => path.split('/').slice(3).join('/') === `targets/${name}`)
  if (!entry) throw new AppError('not-found', `There is no target ${name}.`)
  const [path, value] = entry
  checkPermission(operator, [path])
  const { url, fencing } = Target.parse(value)
  const limits = WeightStore.safeParse(tree.get('/fleet/weightStore')).data
  const result = await commands.run({ id: `${operator.name}/${changeId}`, target: { name, url, fencing }, action, limits })
  return { target: name, result }
}
