import { Args, Command, Flags } from '@oclif/core'
import { EngineSettings } from '../../standIn/EngineSettings'
import { startBooking } from '../../standIn/startBooking'
import { startEngine } from '../../standIn/startEngine'
import { runUntilSignal } from '../runUntilSignal'

/** `papayalead stand-in`: runs a stand-in of an outside system, for development. */
export class StandInCommand extends Command {
  static override id = 'stand-in'
  static override description = 'Run a stand-in of an outside system (development only).'
  static override args = { kind: Args.string({ required: true, options: ['engine', 'booking'] }) }
  static override flags = {
    host: Flags.string({ default: '127.0.0.1' }),
    port: Flags.integer({ default: 0 }),
    options: Flags.string({ default: '{}', description: 'behaviour as JSON' })
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(StandInCommand)
    const address = { host: flags.host, port: flags.port }
    const running = args.kind === 'engine'
      ? await startEngine(address, EngineSettings.parse(JSON.parse(flags.options)))
      : await startBooking(address)
    this.log(JSON.stringify({ http: running.address }))
    await runUntilSignal(() => running.close())
  }
}
