import type { Hop } from '../../Hop'
import type { Metrics } from '../../Metrics'
import type { ComponentLogger } from '../../ComponentLogger'
import type { RequestCounts } from '../../RequestCounts'
import type { RequestObservation } from '../../RequestObservation'
import type { Tracer } from '../../Tracer'
import { formatTraceparent } from '../../formatTraceparent'

const MS_PER_S = 1_000
const SERVER_ERROR_STATUS = 500
const NO_SERVICE = 'none'

interface RequestRecorderOptions {
  requestId: string
  logger: ComponentLogger
  metrics: Metrics
  tracer: Tracer
  counts: RequestCounts
  span: ReturnType<Tracer['startSpan']>
  path: string
}

type RequestResult = Parameters<RequestObservation['close']>[0]

/** Records the observation of one request in the log, the metrics and the trace. */
export class RequestRecorder implements RequestObservation {
  readonly requestId: string
  readonly logger: ComponentLogger
  readonly #options: RequestRecorderOptions
  readonly #startedAtMs = performance.now()
  #account = ''
  #service = NO_SERVICE

  constructor (options: RequestRecorderOptions) {
    this.#options = options
    this.requestId = options.requestId
    this.logger = addRequestId(options.logger, options.requestId)
  }

  get traceHeaders (): Record<string, string> {
    return { traceparent: formatTraceparent(this.#options.span.context), 'x-request-id': this.requestId }
  }

  setCall (call: { account: string, service: string }): void {
    this.#account = call.account
    this.#service = call.service
    this.#options.span.setAttributes({ 'papayalead.account': call.account, 'papayalead.service': call.service })
  }

  startHop (hop: Hop, attributes?: Record<string, string | number>): ReturnType<RequestObservation['startHop']> {
    const startedAtMs = performance.now()
    const span = this.#options.tracer.startSpan(hop, { parent: this.#options.span.context, attributes })
    const state = hop === 'queue' ? 'waiting' : 'running'
    this.#options.counts.add(this.#account, state, 1)
    let isStopped = false
    return {
      stop: error => {
        if (isStopped) return
        isStopped = true
        this.#options.counts.add(this.#account, state, -1)
        if (hop === 'queue') this.#options.metrics.observeWait(this.#service, (performance.now() - startedAtMs) / MS_PER_S)
        span.stop(error)
      }
    }
  }

  close (result: RequestResult): void {
    const { metrics, span, path } = this.#options
    const durationMs = performance.now() - this.#startedAtMs
    metrics.observeRequest({ service: this.#service, outcome: result.outcome, kind: result.kind })
    metrics.observeResponse(this.#service, durationMs / MS_PER_S)
    span.setAttributes({ 'http.response.status_code': result.status, 'papayalead.outcome': result.outcome })
    span.stop(result.kind)
    const fields = { account: this.#account, service: this.#service, path, status: result.status, outcome: result.outcome, kind: result.kind, durationMs: Math.round(durationMs) }
    if (result.kind === undefined) this.logger.debug('Request complete.', fields)
    else if (result.status >= SERVER_ERROR_STATUS) this.logger.warn('Request failed.', fields)
    else this.logger.info('Request refused.', fields)
  }
}

function addRequestId (logger: ComponentLogger, requestId: string): ComponentLogger {
  return {
    error: (message, fields) => logger.error(message, { ...fields, requestId }),
    warn: (message, fields) => logger.warn(message, { ...fields, requestId }),
    info: (message, fields) => logger.info(message, { ...fields, requestId }),
    debug: (message, fields) => logger.debug(message, { ...fields, requestId })
  }
}
