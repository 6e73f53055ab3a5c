import type { IncomingMessage, ServerResponse } from 'node:http'
import { convertToAppError } from '../../contract/convertToAppError'
import { Outcome } from '../../contract/Outcome'
import type { RequestObservation } from '../../telemetry/RequestObservation'
import type { RequestObserver } from '../../telemetry/RequestObserver'

type ObservedHandler = (request: IncomingMessage, response: ServerResponse, observation: RequestObservation) => Promise<void>

/**
 * @name observeCalls
 * @category Instance
 * @summary Wraps a request handler so that each request is observed from its arrival to its end.
 *
 * @description
 * The response carries the request id in `x-request-id`. Errors of the handler are recorded and rethrown.
 *
 * @param observer - Starts the observations.
 * @param handler - Handles one request.
 * @returns A handler for the HTTP server.
 *
 * @example
 * observeCalls(observer, (request, response, observation) => calls.handleService(request, response, observation))
 */
export function observeCalls (observer: RequestObserver, handler: ObservedHandler): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (request, response) => {
    const observation = observer.startRequest({
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      requestId: getSingle(request.headers['x-request-id']),
      traceparent: getSingle(request.headers.traceparent)
    })
    response.setHeader('x-request-id', observation.requestId)
    try {
      await handler(request, response, observation)
      const outcome = Outcome.safeParse(response.getHeader('papayalead-outcome'))
      observation.close({ status: response.statusCode, outcome: outcome.data ?? 'complete' })
    } catch (thrown) {
      const { status, outcome, kind } = convertToAppError(thrown)
      observation.close({ status, outcome, kind })
      throw thrown
    }
  }
}

function getSingle (header: string | string[] | undefined): string | undefined {
  return Array.isArray(header) ? header[0] : header
}
