import { Args } from '@oclif/core'
import { OperatorCommand } from '../OperatorCommand'
import { renderChangeResult } from '../renderChangeResult'

/** `papayalead undrain`: ends the drain of a target by an operator. */
export class UndrainCommand extends OperatorCommand {
  static override id = 'undrain'
  static override description = 'End the drain of a target by an operator. A maintenance window still applies.'
  static override args = { target: Args.string({ required: true }) }
  static override flags = { ...OperatorCommand.changeFlags }
  static override examples = ['<%= config.bin %> undrain runner-1 --wait']

  async run (): Promise<void> {
    const { args, flags } = await this.parse(UndrainCommand)
    await this.runChange(flags, { path: '/v1/undrain', body: { target: args.target } }, renderChangeResult)
  }
}
