import { Args, Flags } from '@oclif/core'
import { resolveSubtree } from '../../configuration/resolveSubtree'
import { OperatorCommand } from '../OperatorCommand'
import { renderTable } from '../renderTable'

interface Settings { values: Record<string, unknown>, revisions: Record<string, number> }

/** `papayalead list`: shows the settings under a path. */
export class ListCommand extends OperatorCommand {
  static override id = 'list'
  static override description = 'List the settings under a path, with the revisions of their subtrees.'
  static override args = { prefix: Args.string({ default: '/' }) }
  static override flags = { local: Flags.boolean({ description: 'read the local copy of the control instance, which may be stale' }) }
  static override examples = ['<%= config.bin %> list /teams/sales']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(ListCommand)
    const query = { prefix: args.prefix, consistency: flags.local ? 'local' : undefined }
    await this.runRequest<Settings>(flags, { method: 'GET', path: '/v1/settings', query }, ({ values, revisions }) => {
      const rows = Object.entries(values).map(([path, value]) => [path, revisions[resolveSubtree(path)], JSON.stringify(value)])
      return renderTable(['PATH', 'REVISION', 'VALUE'], rows)
    })
  }
}
