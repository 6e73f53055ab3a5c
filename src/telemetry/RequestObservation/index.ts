import type { ErrorKind } from '../../contract/ErrorKind'
import type { Outcome } from '../../contract/Outcome'
import type { Hop } from '../Hop'
import type { ComponentLogger } from '../ComponentLogger'

interface RunningHop {
  /** Ends the hop; an error marks its span as failed. A second call has no effect. */
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
 * @description
 * `logger` adds the request id to each line. `setCall` is called once the client account and the service are known.
 * `traceHeaders` are the headers `traceparent` and `x-request-id` for the target. `close` is called exactly once, by
 * whoever started the observation.
 *
 * @example
 * const hop = observation.startHop('queue')
 * const slot = await gate.admit(request).finally(() => hop.stop())
 */
export interface RequestObservation {
  readonly requestId: string
  readonly logger: ComponentLogger
  readonly traceHeaders: Readonly<Record<string, string>>
  setCall: (call: { account: string, service: string }) => void
  startHop: (hop: Hop, attributes?: Record<string, string | number>) => RunningHop
  close: (result: RequestResult) => void
}
