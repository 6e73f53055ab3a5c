import { randomUUID } from 'node:crypto'
import type { Metrics } from '../Metrics'
import type { ComponentLogger } from '../ComponentLogger'
import type { RequestCounts } from '../RequestCounts'
import type { RequestObservation } from '../RequestObservation'
import type { RequestObserver } from '../RequestObserver'
import type { Tracer } from '../Tracer'
import { RequestRecorder } from '../_lib/RequestRecorder'
import { parseTraceparent } from '../parseTraceparent'

/** Form of an accepted request id of a caller. Ids of other forms could be used to forge log lines. */
const VALID_REQUEST_ID = /^[\w.:-]{1,64}$/

interface TelemetryRequestObserverOptions {
  logger: ComponentLogger
  metrics: Metrics
  tracer: Tracer
  counts: RequestCounts
}

/**
 * @name TelemetryRequestObserver
 * @category Telemetry
 * @summary Records each request in the log, the metrics and the trace.
 *
 * @description
 * The request id is the caller's `x-request-id` if it has the accepted form, otherwise a random UUID.
 *
 * @param options - Logger, metrics, tracer and the request counts of client accounts.
 *
 * @example
 * const observer = new TelemetryRequestObserver({ logger, metrics, tracer, counts: new RequestCounts() })
 */
export class TelemetryRequestObserver implements RequestObserver {
  readonly #options: TelemetryRequestObserverOptions

  constructor (options: TelemetryRequestObserverOptions) {
    this.#options = options
  }

  startRequest (head: Parameters<RequestObserver['startRequest']>[0]): RequestObservation {
    const requestId = head.requestId !== undefined && VALID_REQUEST_ID.test(head.requestId) ? head.requestId : randomUUID()
    const path = head.path.split('?')[0]
    const span = this.#options.tracer.startSpan('request', {
      parent: parseTraceparent(head.traceparent),
      attributes: { 'http.request.method': head.method, 'url.path': path, 'papayalead.request_id': requestId }
    })
    return new RequestRecorder({ ...this.#options, requestId, span, path })
  }
}
