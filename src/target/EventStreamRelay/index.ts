import type { ServerResponse } from 'node:http'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { CallDispatcher } from '../CallDispatcher'
import { computeCost } from '../computeCost'
import { readEvents } from '../readEvents'
import type { InFlightResponse } from '../InFlightResponse'
import { selectHeaders } from '../selectHeaders'
import type { TargetCall } from '../TargetCall'
import { writeChunk } from '../writeChunk'

interface StreamState {
  /** Tokens that the caller has; the offset at which the stream resumes. */
  tokens: number
  isUsageSent: boolean
  cost?: number
}

const FINAL_EVENT = '[DONE]'
const MAX_RESUMES_WITHOUT_TOKEN = 3
/** A target that holds the connection open after the final event loses the connection. */
const CLOSING_TIME_MS = 1_000

/**
 * @name EventStreamRelay
 * @category Target
 * @summary Relays the event stream of a completion and resumes it when a target breaks off.
 *
 * @description
 * The stream is complete when `[DONE]` arrives. Before that, a lost connection resumes the stream at its token offset
 * (`resume_from` in the body) on another target, or on the same one if there is no other. A stream that can't be
 * resumed ends with an error event and a destroyed connection.
 *
 * @param dispatcher - Runs the call again.
 *
 * @example
 * await new EventStreamRelay(dispatcher).pipe(call, answer, response)
 */
export class EventStreamRelay {
  readonly #dispatcher: CallDispatcher

  constructor (dispatcher: CallDispatcher) {
    this.#dispatcher = dispatcher
  }

  /**
   * @throws AppError if the stream ended incomplete; the caller's connection must be destroyed then.
   */
  async pipe (call: TargetCall, first: InFlightResponse, response: ServerResponse): Promise<void> {
    const state: StreamState = { tokens: 0, isUsageSent: false }
    const answerTimeMs = call.deadlineAtMs - performance.now()
    response.writeHead(first.response.status, { ...selectHeaders(first.response.headers), trailer: 'papayalead-outcome' })
    let answer = first
    let failures = 0
    while (true) {
      const before = state.tokens
      const error = await this.#tryRelay(call, answer, { state, response })
      if (!error) return closeComplete(response)
      failures = state.tokens > before ? 1 : failures + 1
      const next = failures <= MAX_RESUMES_WITHOUT_TOKEN && !call.signal.aborted
        ? await this.#tryResume(call, { state, failedTarget: answer.target, answerTimeMs: Math.max(answerTimeMs, 1) })
        : undefined
      if (!next) {
        await writeError(response, error)
        throw error
      }
      answer = next
    }
  }

  async #tryRelay (call: TargetCall, answer: InFlightResponse, target: { state: StreamState, response: ServerResponse }): Promise<AppError | undefined> {
    const { state, response } = target
    const offset = state.tokens
    const hop = call.trace.startHop('stream', { target: answer.target })
    try {
      if (!await pipeEvents(call, answer, target)) throw new AppError('answer-truncated', 'The stream ended without its final event.')
    } catch (thrown) {
      hop.stop(thrown)
      if (!call.signal.aborted) answer.response.body.destroy()
      answer.fail({ cost: state.tokens - offset, isHealthy: call.signal.aborted })
      return thrown instanceof AppError ? thrown : new AppError('answer-truncated', 'The target broke off the stream.', { cause: thrown })
    }
    hop.stop()
    answer.settle(state.cost === undefined ? state.tokens - offset : Math.max(0, state.cost - offset))
    return response.destroyed ? new AppError('caller-gone', 'The caller left.') : undefined
  }

  async #tryResume (call: TargetCall, from: { state: StreamState, failedTarget: string, answerTimeMs: number }): Promise<InFlightResponse | undefined> {
    const body = createResumeBody(call.body, from.state.tokens)
    if (!body || !this.#dispatcher.tryTakeRetry()) return undefined
    const resumed = { ...call, body, deadlineAtMs: performance.now() + from.answerTimeMs }
    try {
      return await this.#dispatchResumed(resumed, from.failedTarget)
    } catch {
      return undefined
    }
  }

  async #dispatchResumed (call: TargetCall, failedTarget: string): Promise<InFlightResponse> {
    const answer = await this.#dispatcher.dispatch(call, [failedTarget]).catch(thrown => {
      if (convertToAppError(thrown).kind !== 'no-target') throw thrown
      return this.#dispatcher.dispatch(call)
    })
    const { status, headers, body } = answer.response
    if (status === 200 && String(headers['content-type']).startsWith('text/event-stream')) return answer
    body.on('error', () => {}).destroy()
    answer.fail({ cost: 0, isHealthy: false })
    throw new AppError('target-failed', 'The target did not resume the stream.')
  }
}

/** Copies events to the caller; returns whether the final event was among them. */
async function pipeEvents (call: TargetCall, answer: InFlightResponse, target: { state: StreamState, response: ServerResponse }): Promise<boolean> {
  const { state, response } = target
  const { body } = answer.response
  let closing: NodeJS.Timeout | undefined
  try {
    for await (const event of readEvents(body)) {
      if (closing) continue
      const kind = findEventKind(event.data)
      if (kind === 'other' && isRepeatedUsage(state, event.data)) continue
      await writeChunk(response, event.raw, call.signal)
      if (kind === 'token') {
        state.tokens++
        answer.charge(1)
      } else if (kind === 'final') {
        closing = setTimeout(() => body.destroy(), CLOSING_TIME_MS)
      }
    }
  } catch (error) {
    if (!closing) throw error
  } finally {
    clearTimeout(closing)
  }
  return closing !== undefined
}

function findEventKind (data: string): 'token' | 'final' | 'other' {
  if (data === FINAL_EVENT) return 'final'
  try {
    return JSON.parse(data).choices?.length > 0 ? 'token' : 'other'
  } catch {
    return 'other'
  }
}

/** A resumed stream reports the usage again; the caller gets the first report only. */
function isRepeatedUsage (state: StreamState, data: string): boolean {
  const cost = computeCost(data)
  if (cost === undefined) return false
  state.cost = cost
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

function closeComplete (response: ServerResponse): void {
  response.addTrailers({ 'papayalead-outcome': 'complete' })
  response.end()
}

/** Writes the error event; the caller of this function destroys the connection. A caller that does not read misses the event. */
async function writeError (response: ServerResponse, error: AppError): Promise<void> {
  if (response.destroyed) return
  const { kind, message } = error
  const data = JSON.stringify({ error: { kind, message, outcome: 'unknown' } })
  await new Promise<void>(resolve => {
    const timer = setTimeout(resolve, CLOSING_TIME_MS)
    response.write(`event: error\ndata: ${data}\n\n`, () => {
      clearTimeout(timer)
      resolve()
    })
  })
}
