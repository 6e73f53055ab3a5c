import type { ListenAddress } from '../../../contract/ListenAddress'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import type { Metrics } from '../../../telemetry/Metrics'
import { sendMetrics } from '../../sendMetrics'
import { startHttpServer } from '../../startHttpServer'

interface StartReadinessOptions {
  isReady: () => boolean
  metrics: Metrics
  lifecycle: LifecycleManager
}

/** Serves the readiness check of the load balancer and the metrics. */
export async function startReadiness (address: ListenAddress, { isReady, metrics, lifecycle }: StartReadinessOptions): Promise<void> {
  const { server } = await startHttpServer(address, [
    { method: 'get', path: '/readyz', handler: (_request, response) => { response.writeHead(isReady() ? 200 : 503).end() } },
    { method: 'get', path: '/metrics', handler: (_request, response) => sendMetrics(response, metrics) }
  ])
  lifecycle.register('readiness', () => {
    server.close()
    server.closeAllConnections()
  })
}
