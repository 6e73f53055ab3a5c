import { setTimeout as wait } from 'node:timers/promises'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { IdempotencyCommand } from '../IdempotencyCommand'
import { IdempotencyResult } from '../IdempotencyResult'
import type { RecordTransport } from '../RecordTransport'
import type { SessionRenewer } from '../SessionRenewer'
import type { StoredResponse } from '../StoredResponse'

interface Claim {
  id: string
  digest: string
  attempt: string
  deadlineAtMs: number
}

type ClaimResult = { session: string, response?: undefined } | { session?: undefined, response: StoredResponse }
/** A command before control adds the time. */
type Proposal = IdempotencyCommand extends infer T ? T extends unknown ? Omit<T, 'atMs'> : never : never

const COMMIT_TIMEOUT_MS = 2_000
const WITHDRAW_ATTEMPTS = 3
const COMPLETE_FOR_MS = 60_000
const RETRY_DELAY_MS = 50
const LONG_POLL_MS = 5_000

/**
 * @name IdempotencyClient
 * @category Idempotency
 * @summary The router's side of idempotency records.
 *
 * @param transport - Reaches the control replicas.
 * @param sessions - The router's session.
 *
 * @example
 * const { session, response } = await client.claim({ id, digest, attempt, deadlineAtMs })
 */
export class IdempotencyClient {
  readonly #transport: RecordTransport
  readonly #sessions: Pick<SessionRenewer, 'session' | 'isHeld' | 'reset'>

  constructor (transport: RecordTransport, sessions: Pick<SessionRenewer, 'session' | 'isHeld' | 'reset'>) {
    this.#transport = transport
    this.#sessions = sessions
  }

  /**
   * Claims the record of a call, or waits for the attempt that runs and returns its response.
   *
   * @returns The session that the claim belongs to, or the stored response.
   * @throws AppError `key-conflict`, `key-in-progress`, `control-unavailable` (`not-run` if the claim is certain to have no effect).
   */
  async claim (claim: Claim): Promise<ClaimResult> {
    while (true) {
      const session = await this.#waitForSession(claim.deadlineAtMs)
      const result = await this.#proposeClaim(claim, session)
      if (result.status === 'ended') return { response: result.response }
      if (result.status === 'claimed') return { session }
      if (result.status === 'conflict') throw new AppError('key-conflict', 'The idempotency key belongs to another request.')
      if (result.status === 'session-ended') this.#sessions.reset(session)
      else if (result.status === 'running') await this.#waitForEnd(claim)
      else throw new AppError('control-unavailable', 'The claim of the idempotency key was withdrawn.')
    }
  }

  /** Reports whether an attempt may send now. Called right before its first byte. */
  confirmSend (session: string): void {
    if (!this.#sessions.isHeld(session)) throw new AppError('control-unavailable', 'The lease of the session has expired.')
  }

  /** Stores the end of an attempt. Resolves once it is committed, or when control has not taken it for a minute. */
  async complete (id: string, attempt: string, response: StoredResponse): Promise<void> {
    const endsAtMs = performance.now() + COMPLETE_FOR_MS
    while (performance.now() < endsAtMs) {
      if (await this.#tryPropose({ type: 'complete', id, attempt, response })) return
      await wait(RETRY_DELAY_MS)
    }
  }

  /** Withdraws an attempt that has sent nothing. Returns whether the withdrawal is committed. */
  async tryWithdraw (id: string, attempt: string): Promise<boolean> {
    for (let tried = 0; tried < WITHDRAW_ATTEMPTS; tried++) {
      const result = await this.#tryPropose({ type: 'withdraw', id, attempt })
      if (result) return result.status === 'withdrawn'
    }
    return false
  }

  async #waitForSession (deadlineAtMs: number): Promise<string> {
    const endsAtMs = Math.min(deadlineAtMs, performance.now() + COMMIT_TIMEOUT_MS)
    while (!this.#sessions.isHeld(this.#sessions.session)) {
      if (performance.now() >= endsAtMs) throw new AppError('control-unavailable', 'The router has no lease of the control leader.')
      await wait(RETRY_DELAY_MS)
    }
    return this.#sessions.session
  }

  async #proposeClaim ({ id, digest, attempt, deadlineAtMs }: Claim, session: string): Promise<IdempotencyResult> {
    const timeoutMs = Math.max(1, Math.min(COMMIT_TIMEOUT_MS, deadlineAtMs - performance.now()))
    try {
      return await this.#propose({ type: 'claim', id, digest, session, attempt }, timeoutMs)
    } catch (thrown) {
      const error = convertToAppError(thrown)
      if (error.outcome === 'not-run' || await this.tryWithdraw(id, attempt)) {
        throw new AppError('control-unavailable', 'The idempotency key could not be claimed.', { cause: thrown, outcome: 'not-run' })
      }
      throw new AppError('control-unavailable', 'The claim of the idempotency key was not confirmed.', { cause: thrown, outcome: 'unknown' })
    }
  }

  async #waitForEnd ({ id, deadlineAtMs }: Claim): Promise<void> {
    const remainingMs = deadlineAtMs - performance.now()
    if (remainingMs <= 0) throw new AppError('key-in-progress', 'The call with this idempotency key still runs.')
    try {
      await this.#transport.waitForRecord(id, Math.floor(Math.min(LONG_POLL_MS, remainingMs)))
    } catch {
      await wait(RETRY_DELAY_MS)
    }
  }

  async #tryPropose (command: Proposal): Promise<IdempotencyResult | undefined> {
    try {
      return await this.#propose(command, COMMIT_TIMEOUT_MS)
    } catch {
      return undefined
    }
  }

  async #propose (command: Proposal, timeoutMs: number): Promise<IdempotencyResult> {
    return IdempotencyResult.parse(await this.#transport.propose(command, { timeoutMs }))
  }
}
