import { randomUUID } from 'node:crypto'
import { Args, Flags } from '@oclif/core'
import { AppError } from '../../contract/AppError'
import type { TargetAction } from '../../contract/TargetAction'
import { OperatorCommand } from '../OperatorCommand'

/** A command to a target that ignores fencing tokens may wait 16 s for an earlier command, then 10 s for the target. */
const MAX_WAIT_MS = 30_000

interface EngineResult {
  target: string
  result: 'done' | 'failed' | 'unknown'
}

/** `papayalead engine`: sends a command to an inference engine. */
export class EngineCommand extends OperatorCommand {
  static override id = 'engine'
  static override description = 'Ask an inference engine to load a model or an adapter, or to change its role.'
  static override args = {
    target: Args.string({ required: true }),
    action: Args.string({ required: true, options: ['load-model', 'load-adapter', 'change-role'] })
  }

  static override flags = {
    name: Flags.string({ description: 'model or adapter to load' }),
    version: Flags.string({ description: 'version of the model or adapter' }),
    role: Flags.string({ description: 'new role' }),
    'change-id': Flags.string({ description: 'id of the command; a resend with the same id runs once' })
  }

  static override examples = ['<%= config.bin %> engine runner-1 load-model --name llama --version 3']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(EngineCommand)
    const changeId = flags['change-id'] ?? randomUUID()
    const body = { changeId, target: args.target, action: createAction(args.action, flags) }
    const { result } = await this.runRequest<EngineResult>(flags, { method: 'POST', path: '/v1/commands', body, waitMs: MAX_WAIT_MS }, renderResult)
    if (result === 'failed') throw new AppError('target-failed', `Target ${args.target} did not run the command.`, { outcome: 'not-run' })
    if (result === 'unknown') throw new AppError('outcome-unknown', `It is unknown whether target ${args.target} ran the command.`)
  }
}

function createAction (kind: string, flags: { name?: string, version?: string, role?: string }): TargetAction {
  if (kind === 'change-role') {
    if (!flags.role) throw new AppError('bad-request', 'change-role needs --role.')
    return { kind, role: flags.role }
  }
  if (!flags.name || !flags.version) throw new AppError('bad-request', `${kind} needs --name and --version.`)
  return { kind: kind as 'load-model' | 'load-adapter', name: flags.name, version: flags.version }
}

function renderResult ({ target, result }: EngineResult): string {
  return `${target}: ${result}.`
}
