import { Args, Flags } from '@oclif/core'
import { OperatorCommand } from '../OperatorCommand'
import { renderChangeResult } from '../renderChangeResult'

/** `papayalead drain`: stops sending new requests to a target. */
export class DrainCommand extends OperatorCommand {
  static override id = 'drain'
  static override description = 'Send no new requests to a target. Running requests are completed; status shows when the target is drained.'
  static override args = { target: Args.string({ required: true }) }
  static override flags = { ...OperatorCommand.changeFlags, reason: Flags.string({ default: '', description: 'shown to other operators' }) }
  static override examples = ['<%= config.bin %> drain runner-1 --reason "filter change" --wait']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(DrainCommand)
    await this.runChange(flags, { path: '/v1/drain', body: { target: args.target, reason: flags.reason } }, renderChangeResult)
  }
}
