import type { LinkTraffic } from '../../link/LinkTraffic'
import type { Metrics } from '../../telemetry/Metrics'

/**
 * @name registerTrafficReading
 * @category Instance
 * @summary Registers the bytes over links as a metric.
 *
 * @param metrics - Where to register it.
 * @param traffic - Traffic of the process.
 *
 * @example
 * registerTrafficReading(metrics, traffic)
 */
export function registerTrafficReading (metrics: Metrics, traffic: LinkTraffic): void {
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
