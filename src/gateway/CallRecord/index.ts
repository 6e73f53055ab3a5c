import type { CallFacts } from '../../contract/CallFacts'
import type { ErrorKind } from '../../contract/ErrorKind'
import type { Outcome } from '../../contract/Outcome'
import type { AttemptResult } from '../../routing/AttemptResult'
import type { Metrics } from '../../telemetry/Metrics'
import type { PartLogger } from '../../telemetry/PartLogger'

interface CallEnd {
  outcome: Outcome
  status: number
  kind?: ErrorKind
  reason?: string
}

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
 * @summary Collects what decided about a request, for its log line and the metrics.
 *
 * @description
 * One line for each request, when it ends: the request's id, route, client account, version of the route document, each
 * attempt with its target and result, times, and the outcome.
 *
 * @example
 * const record = new CallRecord({ logger, metrics })
 * record.close(facts, { outcome: 'complete', status: 200 })
 */
export class CallRecord {
  readonly #options: { logger: PartLogger, metrics: Metrics }
  readonly arrivedAtMs = performance.now()
  readonly #attempts: Attempt[] = []
  #target: string | undefined
  #placedMs = 0
  #estimate: Estimate | undefined
  #admission: { route: string, account: string | undefined, service: string, version: number } | undefined

  constructor (options: { logger: PartLogger, metrics: Metrics }) {
    this.#options = options
  }

  setAdmission (admission: { route: string, account: string | undefined, service: string, version: number }): void {
    this.#admission = admission
  }

  addPlacement (target: string | undefined, estimate?: Estimate): void {
    this.#target = target
    this.#estimate = estimate
    this.#placedMs = this.#getElapsedMs()
    if (this.#attempts.length === 0) this.#options.metrics.observeWait(this.#service, this.#placedMs / 1e3)
  }

  addResult (result: AttemptResult['type']): void {
    this.#attempts.push({ target: this.#target, placedMs: this.#placedMs, endedMs: this.#getElapsedMs(), result, estimate: this.#estimate })
  }

  close (facts: CallFacts, { outcome, status, kind, reason }: CallEnd): void {
    const { logger, metrics } = this.#options
    const durationMs = this.#getElapsedMs()
    metrics.observeRequest({ service: this.#service, outcome, kind })
    metrics.observeResponse(this.#service, durationMs / 1e3)
    logger.info('A request ended.', { requestId: facts.id, ...this.#admission, deadlineMs: facts.deadlineMs, attempts: this.#attempts, durationMs, outcome, status, kind, reason })
  }

  get #service (): string {
    return this.#admission?.service ?? 'none'
  }

  #getElapsedMs (): number {
    return Math.round(performance.now() - this.arrivedAtMs)
  }
}
