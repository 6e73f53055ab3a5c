import type { ServerResponse } from 'node:http'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { CallDispatcher } from '../CallDispatcher'
import { computeCost } from '../computeCost'
import { readEvents } from '../readEvents'
import type { InFlightResponse } from '../InFlightResponse'
import { selectStreamHeaders } from '../selectStreamHeaders'
import type { TargetCall } from '../TargetCall'
import { writeChunk } from '../writeChunk'

interface StreamState {
  /** Tokens sent to the caller so far; a resumed stream starts at this offset. */
  relayedTokens: number
  /** Whether the caller got a usage event. */
  isUsageSent: boolean
  /** Cost of the whole stream, from the latest usage event. */
  reportedCost?: number
}

const FINAL_EVENT = '[DONE]'
/** Consecutive resumes without a new token after which the stream fails. */
const MAX_RESUMES_WITHOUT_TOKEN = 3
/**
 * A target that holds the connection open for longer than this after the final event is disconnected. Also limits the
 * time for writing the error event to the caller.
 */
const CLOSE_TIMEOUT_MS = 1_000

/**
 * @name EventStreamRelay
 * @category Target
 * @summary Relays the event stream of a completion and resumes it when a target fails.
 *
 * @description
 * The stream is complete when `[DONE]` arrives. If the connection is lost before that, the stream is resumed at its
 * token offset (`resume_from` in the body) on another target, or on the same one if there is no other. A stream that
 * can't be resumed ends with an error event and a destroyed connection.
 *
 * @param dispatcher - Dispatches the call again to resume the stream.
 *
 * @example
 * await new EventStreamRelay(dispatcher).pipe(call, inFlight, response)
 */
export class EventStreamRelay {
  readonly #dispatcher: CallDispatcher

  constructor (dispatcher: CallDispatcher) {
    this.#dispatcher = dispatcher
  }

  /**
   * @throws AppError if the stream is incomplete; the caller's connection must then be destroyed.
   */
  async pipe (call: TargetCall, first: InFlightResponse, response: ServerResponse): Promise<void> {
    const state: StreamState = { relayedTokens: 0, isUsageSent: false }
    const headersTimeoutMs = call.deadlineAtMs - performance.now()
    response.writeHead(first.response.status, selectStreamHeaders(response, first.response.headers))
    let inFlight = first
    let failuresWithoutToken = 0
    while (true) {
      const tokensBefore = state.relayedTokens
      const error = await this.#tryRelay(call, inFlight, { state, response })
      if (!error) return completeResponse(response)
      failuresWithoutToken = state.relayedTokens > tokensBefore ? 1 : failuresWithoutToken + 1
      const next = failuresWithoutToken <= MAX_RESUMES_WITHOUT_TOKEN && !call.signal.aborted
        ? await this.#tryResume(call, { state, failedTarget: inFlight.target, headersTimeoutMs: Math.max(headersTimeoutMs, 1) })
        : undefined
      if (!next) {
        await writeError(response, error)
        throw error
      }
      inFlight = next
    }
  }

  async #tryRelay (call: TargetCall, inFlight: InFlightResponse, sink: { state: StreamState, response: ServerResponse }): Promise<AppError | undefined> {
    const { state, response } = sink
    const offset = state.relayedTokens
    const hop = call.trace.startHop('stream', { target: inFlight.target })
    try {
      if (!await pipeEvents(call, inFlight, sink)) throw new AppError('answer-truncated', 'The event stream from the target ended without its final event.')
    } catch (thrown) {
      hop.stop(thrown)
      if (!call.signal.aborted) inFlight.response.body.destroy()
      inFlight.fail({ cost: state.relayedTokens - offset, isHealthy: call.signal.aborted })
      return thrown instanceof AppError ? thrown : new AppError('answer-truncated', 'The event stream from the target was truncated.', { cause: thrown })
    }
    hop.stop()
    inFlight.settle(state.reportedCost === undefined ? state.relayedTokens - offset : Math.max(0, state.reportedCost - offset))
    return response.destroyed ? new AppError('caller-gone', 'The caller closed the connection.') : undefined
  }

  async #tryResume (call: TargetCall, options: { state: StreamState, failedTarget: string, headersTimeoutMs: number }): Promise<InFlightResponse | undefined> {
    const body = createResumeBody(call.body, options.state.relayedTokens)
    if (!body || !this.#dispatcher.tryTakeRetry()) return undefined
    const resumed = { ...call, body, deadlineAtMs: performance.now() + options.headersTimeoutMs }
    try {
      return await this.#dispatchResumed(resumed, options.failedTarget)
    } catch {
      return undefined
    }
  }

  async #dispatchResumed (call: TargetCall, failedTarget: string): Promise<InFlightResponse> {
    const inFlight = await this.#dispatcher.dispatch(call, [failedTarget]).catch(thrown => {
      if (convertToAppError(thrown).kind !== 'no-target') throw thrown
      return this.#dispatcher.dispatch(call)
    })
    const { status, headers, body } = inFlight.response
    if (status === 200 && String(headers['content-type']).startsWith('text/event-stream')) return inFlight
    body.on('error', () => {}).destroy()
    inFlight.fail({ cost: 0, isHealthy: false })
    throw new AppError('target-failed', 'The target did not respond to the resume request with an event stream.')
  }
}

/** Relays events to the caller; returns whether the final event was among them. */
async function pipeEvents (call: TargetCall, inFlight: InFlightResponse, sink: { state: StreamState, response: ServerResponse }): Promise<boolean> {
  const { state, response } = sink
  const { body } = inFlight.response
  let closeTimer: NodeJS.Timeout | undefined
  try {
    for await (const event of readEvents(body)) {
      if (closeTimer) continue
      const kind = parseEventKind(event.data)
      if (kind === 'other' && isRepeatedUsage(state, event.data)) continue
      await writeChunk(response, event.raw, call.signal)
      if (kind === 'token') {
        state.relayedTokens++
        inFlight.charge(1)
      } else if (kind === 'final') {
        closeTimer = setTimeout(() => body.destroy(), CLOSE_TIMEOUT_MS)
      }
    }
  } catch (error) {
    if (!closeTimer) throw error
  } finally {
    clearTimeout(closeTimer)
  }
  return closeTimer !== undefined
}

function parseEventKind (data: string): 'token' | 'final' | 'other' {
  if (data === FINAL_EVENT) return 'final'
  try {
    return JSON.parse(data).choices?.length > 0 ? 'token' : 'other'
  } catch {
    return 'other'
  }
}

/**
 * Whether the event reports usage that the caller has already; stores the reported cost. A resumed stream reports the
 * usage again, and the caller gets the first report only.
 */
function isRepeatedUsage (state: StreamState, data: string): boolean {
  const cost = computeCost(data)
  if (cost === undefined) return false
  state.reportedCost = cost
  if (state.isUsageSent) return true
  state.isUsageSent = true
  return false
}

function createResumeBody (body: Buffer | undefined, tokens: number): Buffer | undefined {
  try {
    return Buffer.from(JSON.stringify({ ...JSON.parse(String(body)), resume_from: tokens }))
  } catch {
    return undefined
  }
}

function completeResponse (response: ServerResponse): void {
  response.addTrailers({ 'papayalead-outcome': 'complete' })
  response.end()
}

/**
 * Writes the error event and waits until it is flushed or the time-out has passed. A client that does not read in time
 * misses the event, because the caller of `pipe` then destroys the connection.
 */
async function writeError (response: ServerResponse, error: AppError): Promise<void> {
  if (response.destroyed) return
  const { kind, message } = error
  const data = JSON.stringify({ error: { kind, message, outcome: 'unknown' } })
  await new Promise<void>(resolve => {
    const timer = setTimeout(resolve, CLOSE_TIMEOUT_MS)
    response.write(`event: error\ndata: ${data}\n\n`, () => {
      clearTimeout(timer)
      resolve()
    })
  })
}
