import { Args, Flags } from '@oclif/core'
import type { SettingsDifference } from '../../contract/SettingsDifference'
import { loadDocument } from '../loadDocument'
import { OperatorCommand } from '../OperatorCommand'
import { renderDifference } from '../renderDifference'

/** `papayalead diff`: shows what `apply` would change. */
export class DiffCommand extends OperatorCommand {
  static override id = 'diff'
  static override description = 'Show what apply would change.'
  static override args = { file: Args.string({ required: true, description: 'settings by path, in JSON with comments' }) }
  static override flags = { prune: Flags.boolean({ description: 'also delete settings that are not in the file, in the subtrees that it names' }) }
  static override examples = ['<%= config.bin %> diff sales.jsonc']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(DiffCommand)
    const body = { values: loadDocument(args.file), isPruned: flags.prune }
    await this.runRequest<SettingsDifference>(flags, { method: 'POST', path: '/v1/diff', body }, renderDifference)
  }
}
