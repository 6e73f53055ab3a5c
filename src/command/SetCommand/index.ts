import { randomUUID } from 'node:crypto'
import { Args, Command, Flags } from '@oclif/core'
import { request } from 'undici'
import { resolveSubtree } from '../../configuration/resolveSubtree'

/** `papayalead set`: changes one setting. */
export class SetCommand extends Command {
  static override id = 'set'
  static override description = 'Set the value at a path.'
  static override args = { path: Args.string({ required: true }), value: Args.string({ required: true, description: 'JSON' }) }
  static override flags = {
    control: Flags.string({ required: true, env: 'PAPAYALEAD_CONTROL', description: 'URL of a control instance' })
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(SetCommand)
    const change = {
      changeId: randomUUID(),
      subtree: resolveSubtree(args.path),
      operations: [{ path: args.path, value: JSON.parse(args.value) }],
      operator: 'operator',
      atMs: Date.now()
    }
    const response = await request(`${flags.control}/v1/changes`, { method: 'POST', body: JSON.stringify(change) })
    this.log(await response.body.text())
    if (response.statusCode !== 200) this.exit(1)
  }
}
