import { Args, Command, Flags } from '@oclif/core'
import type { ListenAddress } from '../../contract/ListenAddress'
import { BookingSettings } from '../../standIn/BookingSettings'
import { EngineSettings } from '../../standIn/EngineSettings'
import { PlatformSettings } from '../../standIn/PlatformSettings'
import { startBooking } from '../../standIn/startBooking'
import { startEngine } from '../../standIn/startEngine'
import { startPlatform } from '../../standIn/startPlatform'
import { runUntilSignal } from '../runUntilSignal'

interface RunningStandIn {
  address: ListenAddress
  close: () => Promise<void>
}

const START_FUNCTIONS: Record<string, (address: ListenAddress, options: unknown) => Promise<RunningStandIn>> = {
  engine: (address, options) => startEngine(address, EngineSettings.parse(options)),
  booking: (address, options) => startBooking(address, BookingSettings.parse(options)),
  platform: (address, options) => startPlatform(address, PlatformSettings.parse(options))
}

/** `papayalead stand-in`: runs a stand-in for an external system, for development. */
export class StandInCommand extends Command {
  static override id = 'stand-in'
  static override description = 'Run a stand-in for an external system (development only).'
  static override args = { kind: Args.string({ required: true, options: Object.keys(START_FUNCTIONS) }) }
  static override flags = {
    host: Flags.string({ default: '127.0.0.1' }),
    port: Flags.integer({ default: 0 }),
    options: Flags.string({ default: '{}', description: 'settings of the stand-in as JSON' })
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(StandInCommand)
    await runUntilSignal(async () => {
      const running = await START_FUNCTIONS[args.kind]({ host: flags.host, port: flags.port }, JSON.parse(flags.options))
      this.log(JSON.stringify({ http: running.address }))
      return running
    })
  }
}
