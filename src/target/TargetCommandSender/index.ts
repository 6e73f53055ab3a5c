import { AppError } from '../../contract/AppError'
import type { TargetAction } from '../../contract/TargetAction'
import type { TargetCommandRecord } from '../../contract/TargetCommandRecord'
import { TargetCommandReply } from '../../contract/TargetCommandReply'
import type { WeightStore } from '../../contract/WeightStore'

/** The sender of an intent may send within this time from proposing it. */
const COMMAND_LEASE_MS = 5_000
const COMMAND_TIMEOUT_MS = 10_000
/** Difference of monotonic clocks between instances over a lease and a timeout, with a wide margin. */
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
 * @summary Sends commands to inference engines so that a replaced sender can't send late.
 *
 * @description
 * The intent is logged before the command and the result after it. A target that checks fencing tokens refuses an old
 * sender by itself. For a target that ignores them, the sender sends only within its lease, and a successor first waits
 * until the lease and the timeout of the predecessor have passed, then confirms that its own intent is the newest.
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
   * @returns `done` or `failed` as the target answered, or `unknown`.
   * @throws AppError `queue-full` if the weight store's limits are used up, `revision-conflict` if a newer command
   * replaced this one; both were not run.
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
    if (reply.status === 'limited') throw new AppError('queue-full', 'The limits of the weight store are used up.', { retryAfterS: reply.retryAfterMs / 1000 })
    if (reply.status !== 'granted') throw new AppError('revision-conflict', 'A newer command for this target replaced this one.')
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
