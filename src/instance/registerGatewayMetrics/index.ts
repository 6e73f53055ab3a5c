import type { Metrics } from '../../telemetry/Metrics'

interface GatewayState {
  isReady: () => boolean
  /** Milliseconds from the start of the router to its first positive readiness check; undefined before it. */
  getMsToFirstReady: () => number | undefined
  /** Version of the route document in force, 0 if there is none. */
  getVersion: () => number
  /** Milliseconds that the newest route document took to decode, 0 before the first. */
  getDecodeMs: () => number
  /** How often the router became overloaded since its start. */
  countOverloads: () => number
  /** Duration in milliseconds of the longest event loop iteration since the start. */
  getLongestIterationMs: () => number
  /** Requests that were refused since the start because of the load of the router. */
  countRefusals: () => number
  /** Prompt parts whose requests this router refuses. */
  countBlockedParts: () => number
  /** Placements that were refused because of a blocked prompt part since the start. */
  countBlockedCalls: () => number
  /** Events of placed calls that could not be sent to the scheduler since the start. */
  countUnsentProgress: () => number
  /** Memory that buffered responses take, in bytes. */
  getBufferedBytes: () => number
  /** Responses that were ended since the start, because buffered responses took too much memory. */
  countEvictedResponses: () => number
}

const MS_PER_S = 1_000

/**
 * @name registerGatewayMetrics
 * @category Instance
 * @summary Registers the state of a router that serves by routes as metrics.
 *
 * @param metrics - Metrics of the process.
 * @param state - Functions that read the state.
 *
 * @example
 * registerGatewayMetrics(metrics, state)
 */
export function registerGatewayMetrics (metrics: Metrics, state: GatewayState): void {
  const register = (name: string, help: string, read: () => number): void => metrics.registerReading({ name, help, read: () => [{ value: read() }] })
  register('gateway_is_ready', '1 if the router is ready.', () => Number(state.isReady()))
  register('gateway_start_seconds', 'Time from the start to the first positive readiness check; 0 before it.', () => (state.getMsToFirstReady() ?? 0) / MS_PER_S)
  register('gateway_document_version', 'Version of the route document in force.', state.getVersion)
  register('gateway_document_decode_seconds', 'Time that the newest route document took to decode.', () => state.getDecodeMs() / MS_PER_S)
  register('gateway_overloads_total', 'How often the router became overloaded.', state.countOverloads)
  register('gateway_longest_iteration_seconds', 'Longest event loop iteration since the start.', () => state.getLongestIterationMs() / MS_PER_S)
  register('gateway_overload_refusals_total', 'Requests that were refused because of the load of the router.', state.countRefusals)
  register('gateway_blocked_parts', 'Prompt parts whose requests the router refuses because targets crash under them.', state.countBlockedParts)
  register('gateway_blocked_requests_total', 'Placements that were refused because of a blocked prompt part.', state.countBlockedCalls)
  register('gateway_unsent_progress_total', 'Events of placed prompts that could not be sent to the scheduler.', state.countUnsentProgress)
  register('gateway_buffered_bytes', 'Memory that buffered responses take.', state.getBufferedBytes)
  register('gateway_evicted_responses_total', 'Responses that were ended because buffered responses took too much memory.', state.countEvictedResponses)
}
