import { Agent, type Dispatcher } from 'undici'
import { AppError } from '../../contract/AppError'
import type { Outcome } from '../../contract/Outcome'
import { createSendObserver } from '../_lib/createSendObserver'
import { SendState } from '../_lib/SendState'
import { createHexId } from '../../telemetry/createHexId'
import { createConnector } from '../createConnector'
import { UnparsedByteLimit } from '../UnparsedByteLimit'
import type { TargetRequest } from '../TargetRequest'
import type { TargetResponse } from '../TargetResponse'

const CONNECT_TIMEOUT_MS = 1_000
const BODY_TIMEOUT_MS = 120_000
const DEFAULT_HEADERS_TIMEOUT_MS = 120_000
/** Idle connections are closed this early, so that a request is rarely sent on one that the target is closing. */
const KEEP_ALIVE_TIMEOUT_MS = 1_000
/** Together with one read of the socket (64 KiB at most), bounds the bytes buffered for a response body. */
const READ_AHEAD_BYTES = 16 * 1024
/** Bytes without any part of a response after which a connection is closed; a head has 16 KiB at most. */
const MAX_UNPARSED_BYTES = 256 * 1024
const REQUEST_ID_SUFFIX_DIGITS = 16

/**
 * @name TargetClient
 * @category Target
 * @summary Sends requests to targets.
 *
 * @description
 * A connection has one request in flight at a time (no pipelining), and a request is never resent. The connection of an
 * abandoned request is destroyed. A body without a length is complete when its connection is closed in order, and fails
 * when it is reset. Each request has a unique `x-request-id`; a response that echoes another one is
 * refused.
 *
 * @example
 * const response = await client.dispatch({ url, method: 'GET', path: '/health', headers: {} })
 */
export class TargetClient {
  readonly #unparsedLimit = new UnparsedByteLimit({ maxBytes: MAX_UNPARSED_BYTES })
  readonly #agent = new Agent({ pipelining: 1, connect: createConnector({ timeoutMs: CONNECT_TIMEOUT_MS, unparsedLimit: this.#unparsedLimit }), keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, bodyTimeout: BODY_TIMEOUT_MS, headersTimeout: 0 })

  /**
   * @throws AppError `target-failed`, `target-timeout` or the reason of the signal: outcome
   * `not-run` if no byte was written, otherwise `unknown`.
   */
  async dispatch (request: TargetRequest): Promise<TargetResponse> {
    const sendState = new SendState(request.confirmSend)
    const abortControl = createAbortControl(request)
    try {
      const requestId = createRequestId(request)
      const options = createOptions(request, { requestId, signal: abortControl.signal })
      const { statusCode, headers, body } = await this.#agent.compose(createSendObserver(sendState), this.#unparsedLimit.createInterceptor()).request(options)
      const response: TargetResponse = { status: statusCode, headers, body }
      try {
        checkRequestId(requestId, response)
      } catch (error) {
        body.on('error', () => {}).destroy()
        throw error
      }
      body.once('close', abortControl.release)
      return response
    } catch (cause) {
      abortControl.release()
      throw convertFailure(cause, sendState.isSent ? 'unknown' : 'not-run')
    } finally {
      abortControl.stopTimer()
    }
  }

  close (): Promise<void> {
    return this.#agent.destroy()
  }
}

/** Adds a random part for each attempt, because the caller's id may repeat. */
function createRequestId (request: TargetRequest): string {
  const suffix = createHexId(REQUEST_ID_SUFFIX_DIGITS)
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

/**
 * Aborts the request when the caller's signal aborts or the headers of the response do not arrive in time. `stopTimer`
 * ends the time limit, `release` detaches from the caller's signal.
 */
function createAbortControl (request: TargetRequest): { signal: AbortSignal, stopTimer: () => void, release: () => void } {
  const controller = new AbortController()
  const handleAbort = (): void => controller.abort(request.signal?.reason)
  const timeoutMs = request.headersDeadlineAtMs === undefined ? DEFAULT_HEADERS_TIMEOUT_MS : request.headersDeadlineAtMs - performance.now()
  const timer = setTimeout(() => controller.abort(new AppError('target-timeout', 'The target did not send response headers in time.')), Math.max(0, timeoutMs))
  if (request.signal?.aborted) handleAbort()
  request.signal?.addEventListener('abort', handleAbort, { once: true })
  return {
    signal: controller.signal,
    stopTimer: () => clearTimeout(timer),
    release: () => request.signal?.removeEventListener('abort', handleAbort)
  }
}

function checkRequestId (requestId: string, response: TargetResponse): void {
  const echoed = response.headers['x-request-id']
  if (echoed !== undefined && echoed !== requestId) throw new AppError('target-failed', 'The response has the x-request-id of another request.')
}

function convertFailure (cause: unknown, outcome: Outcome): AppError {
  if (cause instanceof AppError) return new AppError(cause.kind, cause.message, { cause, outcome, retryAfterS: cause.retryAfterS, details: cause.details })
  return new AppError('target-failed', outcome === 'not-run' ? 'No connection to the target.' : 'The request was sent, but no valid response headers arrived.', { cause, outcome })
}
