import type { RequestMetadata } from '../../contract/RequestMetadata'
import type { ErrorKind } from '../../contract/ErrorKind'
import type { Outcome } from '../../contract/Outcome'
import type { AttemptResult } from '../../routing/AttemptResult'
import type { Metrics } from '../../telemetry/Metrics'
import { formatTraceparent } from '../../telemetry/formatTraceparent'
import type { Hop } from '../../telemetry/Hop'
import { parseTraceparent } from '../../telemetry/parseTraceparent'
import type { PartLogger } from '../../telemetry/PartLogger'
import type { Tracer } from '../../telemetry/Tracer'

interface CallEnd {
  outcome: Outcome
  status: number
  kind?: ErrorKind
  reason?: string
}

interface CallRecordOptions {
  logger: PartLogger
  metrics: Metrics
  tracer: Tracer
}

type Span = ReturnType<Tracer['startSpan']>

/** What the placement was decided by: estimated wait and reading time, and the instance that decided. */
interface Estimate {
  waitMs: number
  readMs: number
  scheduler: string
}

interface Attempt {
  target: string | undefined
  /** Milliseconds from the arrival of the request to the placement and to the end of the attempt. */
  placedMs: number
  endedMs: number
  estimate?: Estimate
  result: AttemptResult['type']
}

/**
 * @name CallRecord
 * @category Gateway
 * @summary Collects what decided about a request, for its log line, the metrics and its spans.
 *
 * @description
 * One line for each request, when it ends: the request's id, route, client account, version of the route document, each
 * attempt with its target and result, times, and the outcome. Each attempt has spans `queue`, `dispatch` and `stream`
 * under the span `request`.
 *
 * @example
 * const record = new CallRecord(facts, { logger, metrics, tracer })
 * record.startAttempt()
 * record.close({ outcome: 'complete', status: 200 })
 */
export class CallRecord {
  readonly #facts: RequestMetadata
  readonly #options: CallRecordOptions
  readonly #span: Span
  readonly arrivedAtMs = performance.now()
  readonly #attempts: Attempt[] = []
  #target: string | undefined
  #placedMs = 0
  #estimate: Estimate | undefined
  #admission: { route: string, account: string | undefined, service: string, version: number } | undefined
  /** Span of the step that the request is in. */
  #hop: Span | undefined

  constructor (facts: RequestMetadata, options: CallRecordOptions) {
    this.#facts = facts
    this.#options = options
    this.#span = options.tracer.startSpan('request', { parent: parseTraceparent(facts.traceparent), attributes: { 'papayalead.request_id': facts.id } })
  }

  /** The trace context for the target; undefined if this request isn't recorded. */
  get traceparent (): string | undefined {
    const { context } = this.#hop ?? this.#span
    return context.isSampled ? formatTraceparent(context) : undefined
  }

  setAdmission (admission: { route: string, account: string | undefined, service: string, version: number }): void {
    this.#admission = admission
  }

  /** The request begins to wait for a target. */
  startAttempt (): void {
    this.#startHop('queue')
  }

  addPlacement (target: string | undefined, estimate?: Estimate): void {
    this.#target = target
    this.#estimate = estimate
    this.#placedMs = this.#getElapsedMs()
    if (target !== undefined) this.#startHop('dispatch', { 'papayalead.target': target })
    if (this.#attempts.length === 0) this.#options.metrics.observeWait(this.#service, this.#placedMs / 1e3)
  }

  /** The target has begun to answer. */
  startAnswer (): void {
    this.#startHop('stream')
  }

  addResult (result: AttemptResult['type']): void {
    this.#hop?.stop(result === 'answered' ? undefined : result)
    this.#hop = undefined
    this.#attempts.push({ target: this.#target, placedMs: this.#placedMs, endedMs: this.#getElapsedMs(), result, estimate: this.#estimate })
  }

  close ({ outcome, status, kind, reason }: CallEnd): void {
    const { logger, metrics } = this.#options
    const durationMs = this.#getElapsedMs()
    metrics.observeRequest({ service: this.#service, outcome, kind })
    metrics.observeResponse(this.#service, durationMs / 1e3)
    this.#hop?.stop(kind)
    this.#span.setAttributes({ 'http.response.status_code': status, 'papayalead.outcome': outcome })
    this.#span.stop(kind)
    const { id, deadlineMs, unreadable } = this.#facts
    const unreadableHeaders = unreadable.length > 0 ? unreadable : undefined
    logger.info('A request ended.', { requestId: id, ...this.#admission, deadlineMs, unreadableHeaders, attempts: this.#attempts, durationMs, outcome, status, kind, reason })
  }

  #startHop (hop: Hop, attributes?: Record<string, string>): void {
    this.#hop?.stop()
    this.#hop = this.#options.tracer.startSpan(hop, { parent: this.#span.context, attributes })
  }

  get #service (): string {
    return this.#admission?.service ?? 'none'
  }

  #getElapsedMs (): number {
    return Math.round(performance.now() - this.arrivedAtMs)
  }
}
