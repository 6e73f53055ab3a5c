import { Command, Flags } from '@oclif/core'
import { loadSettingsFile } from '../../configuration/loadSettingsFile'
import { ControlSettings } from '../../contract/ControlSettings'
import { startControl } from '../../instance/startControl'
import { runUntilSignal } from '../runUntilSignal'

/** `papayalead control`: runs the control process. */
export class ControlCommand extends Command {
  static override id = 'control'
  static override description = 'Run a control replica on an instance with a disk.'
  static override flags = { config: Flags.string({ required: true, description: 'settings file (JSON with comments)' }) }

  async run (): Promise<void> {
    const { flags } = await this.parse(ControlCommand)
    const settings = loadSettingsFile(flags.config, ControlSettings)
    await runUntilSignal(async () => {
      const control = await startControl(settings)
      this.log(JSON.stringify({ http: control.http, link: control.link }))
      return control
    })
  }
}
