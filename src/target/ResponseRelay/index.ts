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
 * @summary Runs a call and relays its response to the caller.
 *
 * @description
 * A response of up to 64 KiB is sent once it is complete, with `papayalead-outcome: complete` in its headers. A larger
 * one and an event stream are sent while they arrive; their outcome follows as a trailer, because the headers are sent
 * before the outcome is known. An idempotent call whose response is truncated before a byte was relayed is retried.
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
   * @throws AppError if the call failed. If the headers were sent already, the caller's connection must be destroyed.
   */
  async run (call: TargetCall, response: ServerResponse): Promise<void> {
    const failedTargets: string[] = []
    while (true) {
      const inFlight = await this.#dispatch(call, failedTargets)
      if (isEventStream(call, inFlight)) return this.#events.pipe(call, inFlight, response)
      const failure = await this.#tryRelay(call, inFlight, response)
      if (!failure) return
      if (!call.isIdempotent || response.headersSent || call.signal.aborted || !this.#dispatcher.tryTakeRetry()) throw failure
      failedTargets.push(inFlight.target)
    }
  }

  /** After a truncated response the call may have run, so a later error with outcome `not-run` is replaced. */
  async #dispatch (call: TargetCall, failedTargets: string[]): Promise<InFlightResponse> {
    try {
      return await this.#dispatcher.dispatch(call, failedTargets)
    } catch (thrown) {
      if (failedTargets.length === 0) throw thrown
      throw new AppError('answer-truncated', 'The response from the target was truncated, and no retry succeeded.', { cause: thrown })
    }
  }

  async #tryRelay (call: TargetCall, inFlight: InFlightResponse, response: ServerResponse): Promise<AppError | undefined> {
    const { status, headers, body } = inFlight.response
    const hop = call.trace.startHop('stream', { target: inFlight.target })
    try {
      const { bytes, rest } = await readResponseBody(body, { maxBytes: MAX_BUFFERED_BYTES })
      if (rest) await pipeResponse(response, { status, headers, bytes, rest }, call.signal)
      else sendBufferedResponse(response, { status, headers, body: bytes, method: call.method })
      inFlight.settle((call.isCompletion ? computeCost(bytes.toString('utf8')) : undefined) ?? call.estimate)
      hop.stop()
      return undefined
    } catch (thrown) {
      hop.stop(thrown)
      body.on('error', () => {}).destroy()
      inFlight.fail({ cost: call.estimate, isHealthy: call.signal.aborted })
      if (call.signal.aborted) return new AppError('caller-gone', 'The caller closed the connection.', { cause: thrown })
      return new AppError('answer-truncated', 'The response from the target was truncated.', { cause: thrown })
    }
  }
}

function isEventStream (call: TargetCall, inFlight: InFlightResponse): boolean {
  const { status, headers } = inFlight.response
  return call.isCompletion && status === 200 && String(headers['content-type'] ?? '').startsWith('text/event-stream')
}
