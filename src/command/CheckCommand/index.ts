import { Args, Command, Flags } from '@oclif/core'
import { loadSettingsFile } from '../../configuration/loadSettingsFile'
import { ControlSettings } from '../../contract/ControlSettings'
import { RouterSettings } from '../../contract/RouterSettings'
import { loadDocument } from '../loadDocument'

const KINDS = ['router', 'control', 'settings'] as const

/** `papayalead check`: validates a settings file without applying it. */
export class CheckCommand extends Command {
  static override id = 'check'
  static override description = 'Check a settings file of a process, or a settings document for apply.'
  static override args = { file: Args.string({ required: true, description: 'file in JSON with comments' }) }
  static override flags = {
    as: Flags.option({ options: KINDS, default: 'settings' as const, description: 'settings of a router or a control process, or a settings document' })(),
    json: Flags.boolean({ description: 'print JSON' })
  }

  static override examples = ['<%= config.bin %> check router.jsonc --as router']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(CheckCommand)
    if (flags.as === 'router') loadSettingsFile(args.file, RouterSettings)
    else if (flags.as === 'control') loadSettingsFile(args.file, ControlSettings)
    else loadDocument(args.file)
    this.log(flags.json ? JSON.stringify({ file: args.file, isValid: true }) : `${args.file} is valid.`)
  }
}
