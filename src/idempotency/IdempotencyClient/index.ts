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
/** A command without `atMs`, which the control leader adds. */
type Proposal = IdempotencyCommand extends infer T ? T extends unknown ? Omit<T, 'atMs'> : never : never

const COMMIT_TIMEOUT_MS = 2_000
const WITHDRAW_ATTEMPTS = 3
const COMPLETE_TIMEOUT_MS = 60_000
const RETRY_DELAY_MS = 50
const LONG_POLL_MS = 5_000

/**
 * @name IdempotencyClient
 * @category Idempotency
 * @summary Router-side client of the idempotency records.
 *
 * @param transport - Transport to the control replicas.
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
   * Claims the record of a call. If another attempt is running, waits for it to end and returns its response.
   *
   * @returns The session that the claim belongs to, or the stored response.
   * @throws AppError `key-conflict`, `key-in-progress`, `control-unavailable` (outcome `not-run` if the claim
   * is certain to have no effect).
   */
  async claim (claim: Claim): Promise<ClaimResult> {
    while (true) {
      const session = await this.#waitForSession(claim.deadlineAtMs)
      const result = await this.#proposeClaim(claim, session)
      if (result.status === 'ended') return { response: result.response }
      if (result.status === 'claimed') return { session }
      if (result.status === 'conflict') throw new AppError('key-conflict', 'The idempotency key belongs to another request.')
      if (result.status === 'session-ended') this.#sessions.reset(session)
      else if (result.status === 'running') await this.#waitForAttempt(claim)
      else throw new AppError('control-unavailable', 'The claim of the idempotency key was withdrawn.')
    }
  }

  /**
   * Checks that an attempt may send now. Called right before its first byte is written.
   *
   * @throws AppError `control-unavailable` if the session is not the current one or its lease is not held.
   */
  confirmSend (session: string): void {
    if (!this.#sessions.isHeld(session)) throw new AppError('control-unavailable', 'The router does not hold the lease of the session under which the idempotency key was claimed.')
  }

  /** Stores the response of an attempt. Resolves once that is committed, or after a minute of failed proposals. */
  async complete (id: string, attempt: string, response: StoredResponse): Promise<void> {
    const endsAtMs = performance.now() + COMPLETE_TIMEOUT_MS
    while (performance.now() < endsAtMs) {
      if (await this.#tryPropose({ type: 'complete', id, attempt, response })) return
      await wait(RETRY_DELAY_MS)
    }
  }

  /** Withdraws an attempt that has sent nothing. Returns false if that was refused or could not be confirmed. */
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
      if (performance.now() >= endsAtMs) throw new AppError('control-unavailable', 'The router holds no session lease from the control leader.')
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

  async #waitForAttempt ({ id, deadlineAtMs }: Claim): Promise<void> {
    const remainingMs = deadlineAtMs - performance.now()
    if (remainingMs <= 0) throw new AppError('key-in-progress', 'Another attempt of the call with this idempotency key is still running.')
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
