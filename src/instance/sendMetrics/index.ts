import type { ServerResponse } from 'node:http'
import type { Metrics } from '../../telemetry/Metrics'

/**
 * @name sendMetrics
 * @category Instance
 * @summary Sends the metrics of the process as an HTTP response.
 *
 * @param response - The response to write.
 * @param metrics - The metrics.
 *
 * @example
 * await sendMetrics(response, metrics)
 */
export async function sendMetrics (response: ServerResponse, metrics: Metrics): Promise<void> {
  response.setHeader('content-type', 'text/plain; version=0.0.4; charset=utf-8')
  response.end(await metrics.render())
}
