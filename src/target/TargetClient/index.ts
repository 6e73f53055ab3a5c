import { Agent, type Dispatcher } from 'undici'
import { AppError } from '../../contract/AppError'
import type { Outcome } from '../../contract/Outcome'
import { createSendObserver } from '../_lib/createSendObserver'
import { SendState } from '../_lib/SendState'
import { createHexId } from '../../telemetry/createHexId'
import { checkFraming } from '../checkFraming'
import type { TargetRequest } from '../TargetRequest'
import type { TargetResponse } from '../TargetResponse'

const CONNECT_TIMEOUT_MS = 1_000
const BODY_TIMEOUT_MS = 120_000
const DEFAULT_ANSWER_TIMEOUT_MS = 120_000
/** An idle connection is closed this early, so that a request rarely meets a target that is closing it. */
const IDLE_TIMEOUT_MS = 1_000
/** With one read of the socket (64 KiB at most) this keeps the buffer of a stream within its bound. */
const READ_AHEAD_BYTES = 16 * 1024
const SUFFIX_DIGITS = 16

/**
 * @name TargetClient
 * @category Target
 * @summary Sends requests to targets.
 *
 * @description
 * One request is in flight on a connection at a time (no pipelining), and a request is never resent. The connection of
 * an abandoned request is destroyed. Each request carries an `x-request-id` of its own; an answer that echoes another
 * one is refused.
 *
 * @example
 * const response = await client.dispatch({ url, method: 'GET', path: '/health', headers: {} })
 */
export class TargetClient {
  readonly #agent = new Agent({ pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: IDLE_TIMEOUT_MS, bodyTimeout: BODY_TIMEOUT_MS, headersTimeout: 0 })

  /**
   * @throws AppError `target-failed`, `target-timeout`, `answer-truncated` or the reason of the signal: outcome `not-run` if no byte
   * was written, otherwise `unknown`.
   */
  async dispatch (request: TargetRequest): Promise<TargetResponse> {
    const state = new SendState(request.confirmSend)
    const limit = createTimeLimit(request)
    try {
      const requestId = createRequestId(request)
      const options = createOptions(request, { requestId, signal: limit.signal })
      const { statusCode, headers, body } = await this.#agent.compose(createSendObserver(state)).request(options)
      const response: TargetResponse = { status: statusCode, headers, body }
      try {
        checkAnswer(request, requestId, response)
      } catch (error) {
        body.on('error', () => {}).destroy()
        throw error
      }
      body.once('close', limit.release)
      return response
    } catch (cause) {
      limit.release()
      throw convertFailure(cause, state.isSent ? 'unknown' : 'not-run')
    } finally {
      limit.stopTimer()
    }
  }

  close (): Promise<void> {
    return this.#agent.destroy()
  }
}

/** The caller's id may repeat, so each attempt adds a random part. */
function createRequestId (request: TargetRequest): string {
  const suffix = createHexId(SUFFIX_DIGITS)
  const id = request.headers['x-request-id']
  return id === undefined ? suffix : `${String(id)}.${suffix}`
}

function createOptions (request: TargetRequest, extra: { requestId: string, signal: AbortSignal }): Dispatcher.RequestOptions {
  return {
    origin: request.url,
    method: request.method as Dispatcher.HttpMethod,
    path: request.path,
    headers: { ...request.headers, 'x-request-id': extra.requestId },
    body: request.body,
    signal: extra.signal,
    highWaterMark: READ_AHEAD_BYTES
  }
}

function createTimeLimit (request: TargetRequest): { signal: AbortSignal, stopTimer: () => void, release: () => void } {
  const controller = new AbortController()
  const handleAbort = (): void => controller.abort(request.signal?.reason)
  const timeoutMs = request.answerDeadlineAtMs === undefined ? DEFAULT_ANSWER_TIMEOUT_MS : request.answerDeadlineAtMs - performance.now()
  const timer = setTimeout(() => controller.abort(new AppError('target-timeout', 'The target did not answer in time.')), Math.max(0, timeoutMs))
  if (request.signal?.aborted) handleAbort()
  request.signal?.addEventListener('abort', handleAbort, { once: true })
  return {
    signal: controller.signal,
    stopTimer: () => clearTimeout(timer),
    release: () => request.signal?.removeEventListener('abort', handleAbort)
  }
}

function checkAnswer (request: TargetRequest, requestId: string, response: TargetResponse): void {
  const echoed = response.headers['x-request-id']
  if (echoed !== undefined && echoed !== requestId) throw new AppError('target-failed', 'The target answered another request.')
  checkFraming(request.method, response, request)
}

function convertFailure (cause: unknown, outcome: Outcome): AppError {
  if (cause instanceof AppError) return new AppError(cause.kind, cause.message, { cause, outcome, retryAfterS: cause.retryAfterS, details: cause.details })
  return new AppError('target-failed', outcome === 'not-run' ? 'No connection to the target.' : 'The target did not answer.', { cause, outcome })
}
