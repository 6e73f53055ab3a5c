import { Args, Flags } from '@oclif/core'
import { OperatorCommand } from '../OperatorCommand'
import { renderTable } from '../renderTable'

interface Setting { path: string, value: unknown, subtree: string, revision: number }

/** `papayalead get`: shows one setting. */
export class GetCommand extends OperatorCommand {
  static override id = 'get'
  static override description = 'Show the setting at a path and the revision of its subtree.'
  static override args = { path: Args.string({ required: true }) }
  static override flags = { local: Flags.boolean({ description: 'read the local copy of the control instance, which may be stale' }) }
  static override examples = ['<%= config.bin %> get /teams/sales/accounts/quotes']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(GetCommand)
    const query = { path: args.path, consistency: flags.local ? 'local' : undefined }
    await this.runRequest<Setting>(flags, { method: 'GET', path: '/v1/setting', query }, ({ path, value, revision }) => {
      return renderTable(['PATH', 'REVISION', 'VALUE'], [[path, revision, JSON.stringify(value)]])
    })
  }
}
