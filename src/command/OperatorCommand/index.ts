import { randomUUID } from 'node:crypto'
import { Command, Flags } from '@oclif/core'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import { OperatorClient } from '../OperatorClient'

const MS_PER_S = 1_000
const DEFAULT_WAIT_S = 10

interface OperatorFlags {
  control: string[]
  token?: string
  json: boolean
}

interface RolloutResult {
  /** Live routers on which the change is not yet in effect. */
  behind?: string[]
  /** False if the control instance has just started and may not know all routers. */
  isComplete?: boolean
}

/** Base class of the commands that use the operator API. */
export abstract class OperatorCommand extends Command {
  static override baseFlags = {
    control: Flags.string({ required: true, multiple: true, multipleNonGreedy: true, env: 'PAPAYALEAD_CONTROL', description: 'URL of a control instance; may be repeated or hold several URLs separated by commas, which are tried in turn' }),
    token: Flags.string({ env: 'PAPAYALEAD_TOKEN', description: 'operator token; prefer the environment variable, because arguments are visible to other users' }),
    json: Flags.boolean({ description: 'print JSON instead of a table' })
  }

  /** Flags of commands that change settings. */
  static readonly changeFlags = {
    'change-id': Flags.string({ description: 'id of the change; a resend with the same id is applied once' }),
    wait: Flags.boolean({ description: 'wait until every live router has applied the change' }),
    timeout: Flags.integer({ default: DEFAULT_WAIT_S, min: 1, max: 60, description: 'seconds to wait with --wait' })
  }

  protected createClient (flags: OperatorFlags): OperatorClient {
    // oclif passes the value of an environment variable as one string instead of a list.
    const controls = [flags.control].flat().flatMap(value => value.split(','))
    return new OperatorClient({ controls, token: flags.token })
  }

  /** Sends one request and prints the result. */
  protected async runRequest<T> (flags: OperatorFlags, call: Parameters<OperatorClient['request']>[0], render: (result: T) => string): Promise<T> {
    const client = this.createClient(flags)
    try {
      const result = await client.request(call) as T
      this.log(flags.json ? JSON.stringify(result) : render(result))
      return result
    } finally {
      await client.close()
    }
  }

  /** Sends a change. If the response is lost, the error contains the change id that makes a resend idempotent. */
  protected async runChange<T extends RolloutResult> (flags: OperatorFlags & { 'change-id'?: string, wait: boolean, timeout: number }, call: { path: string, body: object }, render: (result: T) => string): Promise<void> {
    const changeId = flags['change-id'] ?? randomUUID()
    const waitMs = flags.wait ? flags.timeout * MS_PER_S : undefined
    try {
      const result = await this.runRequest<T>(flags, { method: 'POST', path: call.path, body: { ...call.body, changeId }, waitMs }, render)
      checkRollout(result)
    } catch (thrown) {
      const error = convertToAppError(thrown)
      if (error.outcome !== 'unknown') throw error
      throw new AppError(error.kind, `${error.message} Repeat the command with --change-id ${changeId}.`, { cause: error, outcome: 'unknown' })
    }
  }
}

function checkRollout (result: RolloutResult): void {
  if (result.isComplete === false) throw new AppError('deadline-exceeded', 'The change is accepted, but the control instance has just started and may not know all routers.', { outcome: 'complete' })
  if (!result.behind?.length) return
  throw new AppError('deadline-exceeded', `The change is accepted, but not yet in effect on ${result.behind.join(', ')}.`, { outcome: 'complete' })
}
