import { Args } from '@oclif/core'
import { loadSettingsFile } from '../../configuration/loadSettingsFile'
import { SettingsBackup } from '../../contract/SettingsBackup'
import { OperatorCommand } from '../OperatorCommand'

interface RestoreResult { changes: number, set: number, deleted: number, offset: number, behind?: string[] }

/** `papayalead restore`: replaces all settings with those of a backup. */
export class RestoreCommand extends OperatorCommand {
  static override id = 'restore'
  static override description = 'Replace all settings with those of a backup. Settings that are not in the backup are deleted.'
  static override args = { file: Args.string({ required: true }) }
  static override flags = { ...OperatorCommand.changeFlags }
  static override examples = ['<%= config.bin %> restore settings.json --wait']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(RestoreCommand)
    const backup = loadSettingsFile(args.file, SettingsBackup)
    await this.runChange(flags, { path: '/v1/restore', body: { backup } }, ({ changes, set, deleted, offset }: RestoreResult) => {
      return `Set ${set} and deleted ${deleted} settings in ${changes} changes, up to offset ${offset}.`
    })
  }
}
