import { Args, Flags } from '@oclif/core'
import { OperatorCommand } from '../OperatorCommand'
import { renderChangeResult } from '../renderChangeResult'

/** `papayalead drain`: stops new work on a target. */
export class DrainCommand extends OperatorCommand {
  static override id = 'drain'
  static override description = 'Send no new work to a target. Running requests finish; status shows when it is drained.'
  static override args = { target: Args.string({ required: true }) }
  static override flags = { ...OperatorCommand.changeFlags, reason: Flags.string({ default: '', description: 'shown to other operators' }) }
  static override examples = ['<%= config.bin %> drain runner-1 --reason "filter change" --wait']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(DrainCommand)
    await this.runChange(flags, { path: '/v1/drain', body: { target: args.target, reason: flags.reason } }, renderChangeResult)
  }
}
