import { AppError } from '../../contract/AppError'
import type { TargetAction } from '../../contract/TargetAction'
import type { TargetCommandRecord } from '../../contract/TargetCommandRecord'
import { TargetCommandReply } from '../../contract/TargetCommandReply'
import type { WeightStore } from '../../contract/WeightStore'

/**
 * A sender may send a command only within this time after it began to propose the intent or, if it had to wait for its
 * predecessor, the confirmation.
 */
const COMMAND_LEASE_MS = 5_000
const COMMAND_TIMEOUT_MS = 10_000
/** Drift between the monotonic clocks of instances over one lease and one time-out, with a wide margin. */
const CLOCK_DRIFT_MARGIN_MS = 1_000
const PREDECESSOR_WAIT_MS = COMMAND_LEASE_MS + COMMAND_TIMEOUT_MS + CLOCK_DRIFT_MARGIN_MS

interface TargetCommand {
  /** Id of the operator's request; a resend with the same id does not run again. */
  id: string
  target: { name: string, url: string, fencing: 'checked' | 'ignored' }
  action: TargetAction
  limits?: WeightStore
}

interface TargetCommandSenderOptions {
  /** Incarnation of this process. */
  sender: string
  propose: (record: TargetCommandRecord) => Promise<unknown>
  /** Sends the command; rejects with an AppError whose outcome says whether it may have run. */
  post: (url: string, body: { id: string, action: TargetAction, fencingToken: number }, timeoutMs: number) => Promise<{ isAccepted: boolean }>
  getMonotonicMs: () => number
  getWallClockMs: () => number
  wait: (ms: number) => Promise<void>
}

/**
 * @name TargetCommandSender
 * @category Target
 * @summary Sends commands to inference engines, and prevents a sender from sending after a newer command has superseded
 * its own.
 *
 * @description
 * The intent is committed to the `commands` log before the command is sent, and the result after it. A sender sends
 * only within its lease. A target that checks fencing tokens also refuses a superseded sender itself. For a target that
 * ignores them, a sender whose predecessor has no known result waits until the lease and the time-out of the predecessor
 * have passed, then confirms that its own intent is still the newest.
 *
 * @param options - Log access, HTTP access, clocks.
 *
 * @example
 * await sender.run({ id: 'c1', target, action: { kind: 'change-role', role: 'prefill' } })
 */
export class TargetCommandSender {
  readonly #options: TargetCommandSenderOptions

  constructor (options: TargetCommandSenderOptions) {
    this.#options = options
  }

  /**
   * @returns `done` if the target accepted the command, `failed` if it refused the command or the command was not sent,
   * `unknown` if the command may have run. For an id that was used before: its recorded result, or `unknown` if it has
   * none yet.
   * @throws AppError `queue-full` if a limit of the weight store is reached, `revision-conflict` if a newer command
   * superseded this one or the log refused its record as invalid. The command was not sent in either case.
   */
  async run (command: TargetCommand): Promise<'done' | 'failed' | 'unknown'> {
    let leaseStartMs = this.#options.getMonotonicMs()
    let reply = await this.#propose(this.#createIntent(command))
    if (reply.status === 'granted' && reply.mustWait && command.target.fencing === 'ignored') {
      await this.#options.wait(PREDECESSOR_WAIT_MS)
      leaseStartMs = this.#options.getMonotonicMs()
      reply = await this.#propose({ type: 'confirm', id: command.id })
    }
    if (reply.status === 'recorded') return reply.result
    if (reply.status === 'limited') throw new AppError('queue-full', 'The weight store permits no further load now: its limit of concurrent loads, or of loads per minute, is reached.', { retryAfterS: reply.retryAfterMs / 1000 })
    if (reply.status !== 'granted') throw new AppError('revision-conflict', 'The command was not sent: a newer command for this target superseded it, or the log refused its record as invalid.')
    const result = await this.#send(command, reply.token, leaseStartMs)
    await this.#propose({ type: 'finish', id: command.id, result, atMs: this.#options.getWallClockMs() })
    return result
  }

  #createIntent ({ id, target, action, limits }: TargetCommand): TargetCommandRecord {
    return { type: 'intend', id, target: target.name, action, limits, sender: this.#options.sender, atMs: this.#options.getWallClockMs() }
  }

  async #propose (record: TargetCommandRecord): Promise<TargetCommandReply> {
    return TargetCommandReply.parse(await this.#options.propose(record))
  }

  async #send ({ id, target, action }: TargetCommand, fencingToken: number, leaseStartMs: number): Promise<'done' | 'failed' | 'unknown'> {
    if (this.#options.getMonotonicMs() - leaseStartMs >= COMMAND_LEASE_MS) return 'failed'
    try {
      const { isAccepted } = await this.#options.post(target.url, { id, action, fencingToken }, COMMAND_TIMEOUT_MS)
      return isAccepted ? 'done' : 'failed'
    } catch (thrown) {
      return thrown instanceof AppError && thrown.outcome === 'not-run' ? 'failed' : 'unknown'
    }
  }
}
