import type { LinkTraffic } from '../../link/LinkTraffic'
import type { Metrics } from '../../telemetry/Metrics'

/**
 * @name registerTrafficMetric
 * @category Instance
 * @summary Registers the bytes sent and received over links as a metric.
 *
 * @param metrics - Metrics of the process.
 * @param traffic - Link traffic of the process.
 *
 * @example
 * registerTrafficMetric(metrics, traffic)
 */
export function registerTrafficMetric (metrics: Metrics, traffic: LinkTraffic): void {
  metrics.registerReading({
    name: 'link_bytes_total',
    help: 'Bytes over links to other instances.',
    labels: ['direction'],
    read: () => {
      const { bytesSent, bytesReceived } = traffic.computeTotal()
      return [{ labels: { direction: 'sent' }, value: bytesSent }, { labels: { direction: 'received' }, value: bytesReceived }]
    }
  })
}
