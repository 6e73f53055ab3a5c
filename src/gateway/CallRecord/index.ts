import type { RequestMetadata } from '../../contract/RequestMetadata'
import type { ErrorKind } from '../../contract/ErrorKind'
import type { Outcome } from '../../contract/Outcome'
import type { AttemptResult } from '../../routing/AttemptResult'
import type { Metrics } from '../../telemetry/Metrics'
import { formatTraceparent } from '../../telemetry/formatTraceparent'
import type { Hop } from '../../telemetry/Hop'
import { parseTraceparent } from '../../telemetry/parseTraceparent'
import type { LoopClock } from '../LoopClock'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import type { Tracer } from '../../telemetry/Tracer'

interface CallEnd {
  outcome: Outcome
  status: number
  kind?: ErrorKind
  reason?: string
}

interface CallRecordOptions {
  logger: ComponentLogger
  metrics: Metrics
  tracer: Tracer
}

type Delay = ReturnType<LoopClock['observe']>
type Span = ReturnType<Tracer['startSpan']>

/** The estimates that the placement is based on. */
interface Estimate {
  /** Time until the engine starts the prefill. */
  waitMs: number
  /** Prefill time. */
  readMs: number
  /** Instance that decided on the placement. */
  scheduler: string
}

interface Attempt {
  target: string | undefined
  /** Time from the arrival of the request to the placement. */
  placedMs: number
  /** Time from the arrival of the request to the end of the attempt. */
  endedMs: number
  estimate?: Estimate
  result: AttemptResult['type']
}

/**
 * @name CallRecord
 * @category Gateway
 * @summary Collects the routing decisions of a request and their results for its log line, metrics and spans.
 *
 * @description
 * When a request ends, one line is logged with its id, route, client account, version of the route document, the target
 * and result of each attempt, times, and the outcome. `readMs` is how long the request had waited before the router read
 * it, which `durationMs` does not contain, and `iterationMs` the duration of an event loop iteration then. The span `request` contains the spans `queue`, `dispatch` and
 * `stream` of each attempt.
 *
 * @example
 * const record = new CallRecord(metadata, { logger, metrics, tracer }, { readMs: 0, iterationMs: 0, busyMs: 0 })
 * record.startAttempt()
 * record.close({ outcome: 'complete', status: 200 })
 */
export class CallRecord {
  readonly #metadata: RequestMetadata
  readonly #options: CallRecordOptions
  readonly #delay: Delay
  readonly #span: Span
  readonly arrivedAtMs = performance.now()
  readonly #attempts: Attempt[] = []
  #target: string | undefined
  #placedMs = 0
  #estimate: Estimate | undefined
  #admission: { route: string, account: string | undefined, service: string, version: number } | undefined
  /** Span of the current hop of the request. */
  #hop: Span | undefined

  constructor (metadata: RequestMetadata, options: CallRecordOptions, delay: Delay) {
    this.#delay = delay
    this.#metadata = metadata
    this.#options = options
    this.#span = options.tracer.startSpan('request', { parent: parseTraceparent(metadata.traceparent), attributes: { 'papayalead.request_id': metadata.id } })
  }

  /** The trace context for the target; undefined if the trace is not sampled. */
  get traceparent (): string | undefined {
    const { context } = this.#hop ?? this.#span
    return context.isSampled ? formatTraceparent(context) : undefined
  }

  setAdmission (admission: { route: string, account: string | undefined, service: string, version: number }): void {
    this.#admission = admission
  }

  /** Records that the request starts to wait for a target. */
  startAttempt (): void {
    this.#startHop('queue')
  }

  /** Records the placement of an attempt; the target is undefined if none was found. */
  addPlacement (target: string | undefined, estimate?: Estimate): void {
    this.#target = target
    this.#estimate = estimate
    this.#placedMs = this.#getElapsedMs()
    if (target !== undefined) this.#startHop('dispatch', { 'papayalead.target': target })
    if (this.#attempts.length === 0) this.#options.metrics.observeWait(this.#service, this.#placedMs / 1e3)
  }

  /** Records that the target has begun to respond. */
  startResponse (): void {
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
    metrics.observeReadDelay(this.#delay.readMs / 1e3)
    this.#hop?.stop(kind)
    this.#span.setAttributes({ 'http.response.status_code': status, 'papayalead.outcome': outcome })
    this.#span.stop(kind)
    const { id, deadlineMs, unreadable } = this.#metadata
    const unreadableHeaders = unreadable.length > 0 ? unreadable : undefined
    logger.info('A request ended.', { requestId: id, ...this.#admission, deadlineMs, unreadableHeaders, attempts: this.#attempts, readMs: Math.round(this.#delay.readMs), iterationMs: Math.round(this.#delay.iterationMs), busyMs: Math.round(this.#delay.busyMs), durationMs, outcome, status, kind, reason })
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
