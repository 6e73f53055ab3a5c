import { writeFileSync } from 'node:fs'
import { Args } from '@oclif/core'
import { AppError } from '../../contract/AppError'
import type { SettingsBackup } from '../../contract/SettingsBackup'
import { OperatorCommand } from '../OperatorCommand'

const OWNER_ONLY_MODE = 0o600

/** `papayalead backup`: writes all settings to a file. */
export class BackupCommand extends OperatorCommand {
  static override id = 'backup'
  static override description = 'Write every setting to a new file that only its owner can read. It holds the hashes of keys and tokens.'
  static override args = { file: Args.string({ required: true }) }
  static override examples = ['<%= config.bin %> backup settings.json']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(BackupCommand)
    const client = this.createClient(flags)
    const backup = await client.request({ method: 'GET', path: '/v1/backup' }).finally(() => client.close()) as SettingsBackup
    saveBackup(args.file, backup)
    const count = Object.keys(backup.values).length
    this.log(flags.json ? JSON.stringify({ file: args.file, offset: backup.offset, settings: count }) : `Wrote ${count} settings at offset ${backup.offset} to ${args.file}.`)
  }
}

function saveBackup (file: string, backup: SettingsBackup): void {
  try {
    writeFileSync(file, `${JSON.stringify(backup, null, 2)}\n`, { mode: OWNER_ONLY_MODE, flag: 'wx', flush: true })
  } catch (cause) {
    throw new AppError('disk-failed', `${file} can't be written: ${(cause as NodeJS.ErrnoException).code}.`, { cause, outcome: 'not-run' })
  }
}
