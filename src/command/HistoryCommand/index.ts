import { Args, Flags } from '@oclif/core'
import type { SettingsHistoryEntry } from '../../contract/SettingsHistoryEntry'
import { OperatorCommand } from '../OperatorCommand'
import { renderTable } from '../renderTable'

/** `papayalead history`: shows the newest changes. */
export class HistoryCommand extends OperatorCommand {
  static override id = 'history'
  static override description = 'Show the newest changes under a path: who, when and which paths.'
  static override args = { prefix: Args.string({ default: '/' }) }
  static override flags = { limit: Flags.integer({ default: 50, min: 1, max: 1000 }) }
  static override examples = ['<%= config.bin %> history /teams/sales --limit 5']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(HistoryCommand)
    const query = { prefix: args.prefix, limit: flags.limit }
    await this.runRequest<{ changes: SettingsHistoryEntry[] }>(flags, { method: 'GET', path: '/v1/history', query }, ({ changes }) => {
      const rows = changes.map(change => [new Date(change.atMs).toISOString(), change.operator, change.subtree, change.revision, renderPaths(change)])
      return renderTable(['TIME', 'OPERATOR', 'SUBTREE', 'REVISION', 'PATHS'], rows)
    })
  }
}

function renderPaths ({ paths, deletedPaths }: SettingsHistoryEntry): string {
  return [...paths, ...deletedPaths.map(path => `-${path}`)].join(' ')
}
