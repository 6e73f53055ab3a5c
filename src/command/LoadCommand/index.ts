import { Command, Flags } from '@oclif/core'
import { loadSettingsFile } from '../../configuration/loadSettingsFile'
import { LoadSettings } from '../../load/LoadSettings'
import { renderLoadReport } from '../../load/renderLoadReport'
import { runLoad } from '../../load/runLoad'

/** `papayalead load`: sends seeded load to routers and reports latencies and outcomes as observed by the callers. */
export class LoadCommand extends Command {
  static override id = 'load'
  static override description = 'Send seeded load to routers and report latencies and outcomes (development only).'
  static override flags = {
    config: Flags.string({ description: 'settings file (JSON with comments); used instead of the flags that describe the load' }),
    url: Flags.string({ multiple: true, description: 'URL of a router; may be repeated' }),
    account: Flags.string({ multiple: true, description: 'client account as NAME=KEY; may be repeated' }),
    service: Flags.string({ default: 'booking' }),
    kind: Flags.string({ default: 'read', options: ['completion', 'chat', 'booking', 'read'] }),
    rate: Flags.integer({ description: 'open loop: requests/s' }),
    concurrency: Flags.integer({ description: 'closed loop: requests in flight', exclusive: ['rate'] }),
    seconds: Flags.integer({ default: 10, description: 'duration' }),
    seed: Flags.integer({ default: 1 }),
    stream: Flags.boolean({ description: 'stream completions' }),
    keyed: Flags.boolean({ description: 'send bookings with an idempotency key' }),
    json: Flags.boolean({ description: 'print the report as JSON' })
  }

  async run (): Promise<void> {
    const { flags } = await this.parse(LoadCommand)
    const settings = flags.config ? loadSettingsFile(flags.config, LoadSettings) : createSettings(flags)
    const report = await runLoad(settings)
    this.log(flags.json ? JSON.stringify(report) : renderLoadReport(report))
  }
}

interface LoadFlags {
  url?: string[]
  account?: string[]
  service: string
  kind: string
  rate?: number
  concurrency?: number
  seconds: number
  seed: number
  stream: boolean
  keyed: boolean
}

function createSettings (flags: LoadFlags): LoadSettings {
  const accounts = (flags.account ?? []).map(text => {
    const [name, key] = text.split('=')
    return { name, key }
  })
  const loop = flags.concurrency === undefined ? { loop: 'open', rate: flags.rate } : { loop: 'closed', concurrency: flags.concurrency }
  const call = { kind: flags.kind, service: flags.service, isStreamed: flags.stream, hasKey: flags.keyed }
  return LoadSettings.parse({ urls: flags.url ?? [], seed: flags.seed, groups: [{ ...loop, durationMs: flags.seconds * 1_000, accounts, calls: [call] }] })
}
