import type { RequestObservation } from '../RequestObservation'

interface RequestHead {
  method: string
  path: string
  /** Header `x-request-id` of the caller, if any. */
  requestId?: string
  /** Header `traceparent` of the caller, if any. */
  traceparent?: string
}

/**
 * @name RequestObserver
 * @category Telemetry
 * @summary Starts the observation of each request.
 *
 * @example
 * const observation = observer.startRequest({ method: 'POST', path: '/v1/completions' })
 * observation.close({ status: 200, outcome: 'complete' })
 */
export interface RequestObserver {
  startRequest: (head: RequestHead) => RequestObservation
}
