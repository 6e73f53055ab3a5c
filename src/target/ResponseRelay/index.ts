import type { ServerResponse } from 'node:http'
import { AppError } from '../../contract/AppError'
import type { CallDispatcher } from '../CallDispatcher'
import { computeCost } from '../computeCost'
import { EventStreamRelay } from '../EventStreamRelay'
import { MAX_BUFFERED_BYTES } from '../MAX_BUFFERED_BYTES'
import { pipeResponse } from '../pipeResponse'
import { readResponseBody } from '../readResponseBody'
import type { InFlightResponse } from '../InFlightResponse'
import { sendBufferedResponse } from '../sendBufferedResponse'
import type { TargetCall } from '../TargetCall'

/**
 * @name ResponseRelay
 * @category Target
 * @summary Runs a call and relays its answer to the caller.
 *
 * @description
 * An answer of up to 64 KiB is sent once it is complete, with `papayalead-outcome: complete` in its head. A larger one
 * and an event stream are sent while they arrive; their outcome follows as a trailer, because the head is sent before
 * the outcome is known. An idempotent call whose answer breaks off before a byte was relayed is run again.
 *
 * @param dispatcher - Runs calls on targets.
 *
 * @example
 * await relay.run(call, response)
 */
export class ResponseRelay {
  readonly #dispatcher: CallDispatcher
  readonly #events: EventStreamRelay

  constructor (dispatcher: CallDispatcher) {
    this.#dispatcher = dispatcher
    this.#events = new EventStreamRelay(dispatcher)
  }

  /**
   * @throws AppError if nothing was relayed yet. Once a byte was relayed, a failure destroys the caller's connection.
   */
  async run (call: TargetCall, response: ServerResponse): Promise<void> {
    const failedTargets: string[] = []
    while (true) {
      const answer = await this.#dispatchAgain(call, failedTargets)
      if (isEventStream(call, answer)) return this.#events.pipe(call, answer, response)
      const failure = await this.#tryRelay(call, answer, response)
      if (!failure) return
      if (!call.isIdempotent || response.headersSent || call.signal.aborted || !this.#dispatcher.tryTakeRetry()) throw failure
      failedTargets.push(answer.target)
    }
  }

  /** After a truncated answer no refusal may say "not run", so its outcome is replaced. */
  async #dispatchAgain (call: TargetCall, failedTargets: string[]): Promise<InFlightResponse> {
    try {
      return await this.#dispatcher.dispatch(call, failedTargets)
    } catch (thrown) {
      if (failedTargets.length === 0) throw thrown
      throw new AppError('answer-truncated', 'The target broke off its answer, and no other target gave one.', { cause: thrown })
    }
  }

  async #tryRelay (call: TargetCall, answer: InFlightResponse, response: ServerResponse): Promise<AppError | undefined> {
    const { status, headers, body } = answer.response
    const hop = call.trace.startHop('stream', { target: answer.target })
    try {
      const { bytes, rest } = await readResponseBody(body, { maxBytes: MAX_BUFFERED_BYTES })
      if (rest) await pipeResponse(response, { status, headers, bytes, rest }, call.signal)
      else sendBufferedResponse(response, { status, headers, body: bytes, method: call.method })
      answer.settle((call.isCompletion ? computeCost(bytes.toString('utf8')) : undefined) ?? call.estimate)
      hop.stop()
      return undefined
    } catch (thrown) {
      hop.stop(thrown)
      body.on('error', () => {}).destroy()
      answer.fail({ cost: call.estimate, isHealthy: call.signal.aborted })
      if (call.signal.aborted) return new AppError('caller-gone', 'The caller left.', { cause: thrown })
      return new AppError('answer-truncated', 'The target broke off its answer.', { cause: thrown })
    }
  }
}

function isEventStream (call: TargetCall, answer: InFlightResponse): boolean {
  const { status, headers } = answer.response
  return call.isCompletion && status === 200 && String(headers['content-type'] ?? '').startsWith('text/event-stream')
}
