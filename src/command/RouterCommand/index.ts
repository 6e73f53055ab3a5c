import { Command, Flags } from '@oclif/core'
import { loadSettingsFile } from '../../configuration/loadSettingsFile'
import { RouterSettings } from '../../contract/RouterSettings'
import { startRouter } from '../../instance/startRouter'
import { runUntilSignal } from '../runUntilSignal'

/** `papayalead router`: runs the router process. */
export class RouterCommand extends Command {
  static override id = 'router'
  static override description = 'Run a router on an ingress instance.'
  static override flags = { config: Flags.string({ required: true, description: 'settings file (JSON with comments)' }) }

  async run (): Promise<void> {
    const { flags } = await this.parse(RouterCommand)
    const settings = loadSettingsFile(flags.config, RouterSettings)
    await runUntilSignal(async () => {
      const router = await startRouter(settings)
      this.log(JSON.stringify({ http: router.http, link: router.link }))
      return router
    })
  }
}
