import type { ErrorKind } from '../../contract/ErrorKind'
import type { Outcome } from '../../contract/Outcome'
import type { Hop } from '../Hop'
import type { ComponentLogger } from '../ComponentLogger'

interface RunningHop {
  /** Ends the span of the hop; an error marks it as failed. Further calls have no effect. */
  stop: (error?: unknown) => void
}

interface RequestResult {
  status: number
  outcome: Outcome
  kind?: ErrorKind
}

/**
 * @name RequestObservation
 * @category Telemetry
 * @summary Logs, metrics and spans of one request.
 *
 * @example
 * const hop = observation.startHop('queue')
 * const slot = await gate.admit(request).finally(() => hop.stop())
 */
export interface RequestObservation {
  readonly requestId: string
  /** Adds the request id to each line. */
  readonly logger: ComponentLogger
  /** Headers `traceparent` and `x-request-id` for the target. */
  readonly traceHeaders: Readonly<Record<string, string>>
  /** Called as soon as the client account and the service are known. */
  setCall: (call: { account: string, service: string }) => void
  /** Starts the span of a hop. */
  startHop: (hop: Hop, attributes?: Record<string, string | number>) => RunningHop
  /** Must be called exactly once, by the caller of `startRequest`. */
  close: (result: RequestResult) => void
}
