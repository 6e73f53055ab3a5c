import type { ListenAddress } from '../../../contract/ListenAddress'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import type { Metrics } from '../../../telemetry/Metrics'
import { sendMetrics } from '../../sendMetrics'
import { startHttpServer } from '../../startHttpServer'

interface StartReadinessServerOptions {
  isReady: () => boolean
  metrics: Metrics
  lifecycle: LifecycleManager
}

/** Starts an HTTP server for the readiness check of the load balancer and for the metrics. */
export async function startReadinessServer (address: ListenAddress, { isReady, metrics, lifecycle }: StartReadinessServerOptions): Promise<void> {
  const { server } = await startHttpServer(address, [
    { method: 'get', path: '/readyz', handler: (_request, response) => { response.writeHead(isReady() ? 200 : 503).end() } },
    { method: 'get', path: '/metrics', handler: (_request, response) => sendMetrics(response, metrics) }
  ])
  lifecycle.register('readiness', () => {
    server.close()
    server.closeAllConnections()
  })
}
