import { Args, Flags } from '@oclif/core'
import { AppError } from '../../contract/AppError'
import { OperatorCommand } from '../OperatorCommand'
import { renderChangeResult } from '../renderChangeResult'

/** `papayalead set`: changes one setting. */
export class SetCommand extends OperatorCommand {
  static override id = 'set'
  static override description = 'Set the value at a path.'
  static override args = { path: Args.string({ required: true }), value: Args.string({ required: true, description: 'JSON' }) }
  static override flags = {
    ...OperatorCommand.changeFlags,
    expect: Flags.integer({ min: 0, description: 'apply only if the subtree is at this revision' })
  }

  static override examples = ['<%= config.bin %> set /teams/sales/services/llama \'{"kind":"completion"}\' --expect 3 --wait']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(SetCommand)
    const body = { expectedRevision: flags.expect, operations: [{ path: args.path, value: parseValue(args.value) }] }
    await this.runChange(flags, { path: '/v1/changes', body }, renderChangeResult)
  }
}

function parseValue (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new AppError('bad-request', 'The value is not valid JSON.', { cause })
  }
}
