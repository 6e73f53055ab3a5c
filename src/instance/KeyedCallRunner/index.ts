import { randomUUID } from 'node:crypto'
import type { ServerResponse } from 'node:http'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import { computeDigest } from '../../idempotency/computeDigest'
import type { IdempotencyClient } from '../../idempotency/IdempotencyClient'
import { MAX_STORED_BYTES } from '../../idempotency/MAX_STORED_BYTES'
import type { StoredResponse } from '../../idempotency/StoredResponse'
import type { CallDispatcher } from '../../target/CallDispatcher'
import { MAX_BUFFERED_BYTES } from '../../target/MAX_BUFFERED_BYTES'
import { pipeResponse } from '../../target/pipeResponse'
import { readResponseBody } from '../../target/readResponseBody'
import type { InFlightResponse } from '../../target/InFlightResponse'
import { selectHeaders } from '../../target/selectHeaders'
import { sendBufferedResponse } from '../../target/sendBufferedResponse'
import type { TargetCall } from '../../target/TargetCall'

interface Attempt {
  /** Id of the idempotency record: account and key. */
  id: string
  /** Random id of this attempt at the call. */
  attempt: string
}

/** Maximum time that the response to the caller is delayed while its record is being stored. */
const STORE_TIMEOUT_MS = 2_000

/**
 * @name KeyedCallRunner
 * @category Instance
 * @summary Runs a non-idempotent call with an idempotency key at most once, and answers resends from its record.
 *
 * @description
 * The record is claimed before the call is queued, so that a resend of an ended call needs no slot. Once a byte was
 * sent to the target, the call runs to its end even if the caller disconnects, so that a resend gets the response, unless
 * the router interrupts it at the limit of a stop.
 *
 * @param dispatcher - Runs calls on targets.
 * @param idempotencyClient - Client for the idempotency records.
 *
 * @example
 * await runner.run(call, key, response)
 */
export class KeyedCallRunner {
  readonly #dispatcher: CallDispatcher
  readonly #idempotencyClient: IdempotencyClient
  #running = 0

  constructor (dispatcher: CallDispatcher, idempotencyClient: IdempotencyClient) {
    this.#dispatcher = dispatcher
    this.#idempotencyClient = idempotencyClient
  }

  /** Number of calls that run or whose response is not stored yet, including those whose caller disconnected. */
  countRunning (): number {
    return this.#running
  }

  /**
   * @throws AppError whose outcome says whether the call may have run.
   */
  async run (call: TargetCall, key: string, response: ServerResponse): Promise<void> {
    const attempt: Attempt = { id: `${call.account}/${key}`, attempt: randomUUID() }
    const hop = call.trace.startHop('claim')
    const claim = await this.#idempotencyClient.claim({ ...attempt, digest: computeDigest(call), deadlineAtMs: call.deadlineAtMs }).finally(() => hop.stop())
    if (claim.response) return sendStored(response, claim.response, call.method)
    this.#running++
    try {
      await this.#runClaimed(call, { ...attempt, session: claim.session }, response)
    } finally {
      this.#running--
    }
  }

  async #runClaimed (call: TargetCall, claim: Attempt & { session: string }, response: ServerResponse): Promise<void> {
    const inFlight = await this.#dispatch(call, claim)
    const hop = call.trace.startHop('stream', { target: inFlight.target })
    try {
      await this.#recordAndSend(call, { inFlight, claim }, response)
      hop.stop()
    } catch (thrown) {
      hop.stop(thrown)
      inFlight.response.body.on('error', () => {}).destroy()
      inFlight.fail({ cost: call.estimate, isHealthy: call.signal.aborted })
      this.#recordUnknown(claim)
      throw new AppError('answer-truncated', 'The response from the target was truncated.', { cause: thrown })
    }
  }

  async #dispatch (call: TargetCall, claim: Attempt & { session: string }): Promise<InFlightResponse> {
    const abort = new AbortController()
    let isSent = false
    const handleAbort = (): void => {
      const isStopping = convertToAppError(call.signal.reason).kind === 'shutting-down'
      if (!isSent || isStopping) abort.abort(call.signal.reason)
    }
    if (call.signal.aborted) handleAbort()
    call.signal.addEventListener('abort', handleAbort)
    const confirmSend = (): void => {
      this.#idempotencyClient.confirmSend(claim.session)
      isSent = true
    }
    try {
      return await this.#dispatcher.dispatch({ ...call, signal: abort.signal, confirmSend })
    } catch (thrown) {
      throw await this.#settleFailure(convertToAppError(thrown), claim)
    }
  }

  async #settleFailure (error: AppError, claim: Attempt): Promise<AppError> {
    if (error.outcome !== 'not-run') {
      this.#recordUnknown(claim)
      return error
    }
    if (await this.#idempotencyClient.tryWithdraw(claim.id, claim.attempt)) return error
    return new AppError('outcome-unknown', 'The call was not sent, but its idempotency key could not be released.', { cause: error })
  }

  /** Reads the whole response even if the caller disconnected, stores it, then sends it to the caller. */
  async #recordAndSend (call: TargetCall, run: { inFlight: InFlightResponse, claim: Attempt }, response: ServerResponse): Promise<void> {
    const { status, headers, body } = run.inFlight.response
    const { bytes, rest } = await readResponseBody(body, { maxBytes: MAX_BUFFERED_BYTES })
    if (rest) {
      await pipeResponse(response, { status, headers, bytes, rest }, call.signal)
      run.inFlight.settle(call.estimate)
      await this.#record(run.claim, { kind: 'too-large' })
      return
    }
    run.inFlight.settle(call.estimate)
    const isTooLarge = bytes.length > MAX_STORED_BYTES
    const stored: StoredResponse = isTooLarge ? { kind: 'too-large' } : { kind: 'complete', status, headers: selectHeaders(headers), body: Uint8Array.from(bytes) }
    await this.#record(run.claim, stored)
    if (!response.destroyed && !response.headersSent) sendBufferedResponse(response, { status, headers, body: bytes, method: call.method })
  }

  /** Continues in the background when control is slow, because the response to the caller doesn't depend on the record. */
  async #record ({ id, attempt }: Attempt, response: StoredResponse): Promise<void> {
    this.#running++
    const stored = this.#idempotencyClient.complete(id, attempt, response).finally(() => { this.#running-- })
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<void>(resolve => { timer = setTimeout(resolve, STORE_TIMEOUT_MS) })
    await Promise.race([stored, timeout])
    clearTimeout(timer)
  }

  #recordUnknown (claim: Attempt): void {
    void this.#record(claim, { kind: 'unknown' })
  }
}

function sendStored (response: ServerResponse, stored: StoredResponse, method: string): void {
  if (stored.kind === 'complete') return sendBufferedResponse(response, { status: stored.status, headers: stored.headers, body: stored.body, method })
  if (stored.kind === 'unknown') throw new AppError('outcome-unknown', 'The call with this idempotency key may have run.')
  throw new AppError('outcome-unknown', 'The call with this idempotency key ran, but its response was too large to store.', { details: { reason: 'response-too-large' } })
}
