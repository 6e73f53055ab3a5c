import { Args, Flags } from '@oclif/core'
import { OperatorCommand } from '../OperatorCommand'
import { renderChangeResult } from '../renderChangeResult'

/** `papayalead delete`: deletes one setting. */
export class DeleteCommand extends OperatorCommand {
  static override id = 'delete'
  static override description = 'Delete the setting at a path.'
  static override args = { path: Args.string({ required: true }) }
  static override flags = {
    ...OperatorCommand.changeFlags,
    expect: Flags.integer({ min: 0, description: 'apply only if the subtree is at this revision' })
  }

  static override examples = ['<%= config.bin %> delete /teams/sales/accounts/quotes']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(DeleteCommand)
    const body = { expectedRevision: flags.expect, operations: [{ path: args.path, value: null }] }
    await this.runChange(flags, { path: '/v1/changes', body }, renderChangeResult)
  }
}
