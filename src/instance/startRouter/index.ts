import { randomUUID } from 'node:crypto'
import { SettingsFollower } from '../../configuration/SettingsFollower'
import { SettingsTree } from '../../configuration/SettingsTree'
import { SettingsView } from '../../configuration/SettingsView'
import type { ListenAddress } from '../../contract/ListenAddress'
import type { RouterSettings } from '../../contract/RouterSettings'
import { LifecycleManager } from '../../lifecycle/LifecycleManager'
import { LinkClient } from '../../link/LinkClient'
import { LinkServer } from '../../link/LinkServer'
import type { LinkOptions } from '../../link/LinkOptions'
import { LinkTraffic } from '../../link/LinkTraffic'
import { LocalAdmissionGate } from '../../schedule/LocalAdmissionGate'
import { TargetClient } from '../../target/TargetClient'
import { createLogger } from '../../telemetry/createLogger'
import { createPartLogger } from '../../telemetry/createPartLogger'
import { createTracer } from '../../telemetry/createTracer'
import { PrometheusMetrics } from '../../telemetry/PrometheusMetrics'
import { RequestCounts } from '../../telemetry/RequestCounts'
import { TelemetryRequestObserver } from '../../telemetry/TelemetryRequestObserver'
import { CallHandler } from '../CallHandler'
import { observeCalls } from '../observeCalls'
import { registerRouterReadings } from '../registerRouterReadings'
import { sendMetrics } from '../sendMetrics'
import { startHttpServer } from '../startHttpServer'

interface RunningRouter {
  http: ListenAddress
  link: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startRouter
 * @category Instance
 * @summary Starts the router process.
 *
 * @param settings - Checked settings of the process.
 * @returns Bound addresses and a function that stops it.
 * @throws Error if an address can't be bound.
 *
 * @example
 * const router = await startRouter(settings)
 * await router.close()
 */
export async function startRouter (settings: RouterSettings): Promise<RunningRouter> {
  const logger = createPartLogger(createLogger({ instance: settings.instance, level: settings.logLevel }), 'router')
  const lifecycle = new LifecycleManager({ onError: (name, error) => logger.error('A part failed to close.', { name, reason: String(error) }) })
  const tracer = createTracer({ ...settings, onError: error => logger.error('The trace file can not be written.', { reason: error.message }) })
  lifecycle.register('trace', () => tracer.close())
  const metrics = new PrometheusMetrics({ instance: settings.instance, zone: settings.zone })
  const observer = new TelemetryRequestObserver({ logger, metrics, tracer, counts: new RequestCounts() })
  const tree = new SettingsTree()
  const view = new SettingsView()
  const traffic = new LinkTraffic()
  const linkOptions: LinkOptions = {
    identity: { instance: settings.instance, incarnation: randomUUID(), zone: settings.zone, role: 'router' },
    clusterKey: settings.clusterKey,
    handlers: new Map(),
    onLink: link => traffic.add(link),
    onError: error => logger.warn('A connection was closed.', { kind: error.kind, reason: error.message })
  }
  const links = new LinkServer(linkOptions)
  const link = await links.listen(settings.link)
  lifecycle.register('links', () => links.close())
  const control = settings.control.map(address => new LinkClient(address, linkOptions))
  lifecycle.register('control links', () => control.forEach(client => client.close()))
  const follower = new SettingsFollower({ tree, view, sources: () => control })
  follower.start()
  lifecycle.register('settings follower', () => follower.stop())
  const targets = new TargetClient()
  lifecycle.register('target connections', () => targets.close())
  const gate = new LocalAdmissionGate(view)
  const calls = new CallHandler({ view, gate, targets, maxBodyBytes: settings.maxBodyBytes })
  registerRouterReadings(metrics, { view, gate, traffic })
  const handleCompletion = observeCalls(observer, (request, response, observation) => calls.handleCompletion(request, response, observation))
  const handleService = observeCalls(observer, (request, response, observation) => calls.handleService(request, response, observation))
  const { address: http, server } = await startHttpServer(settings.http, [
    { method: 'get', path: '/healthz', handler: (_request, response) => { response.end('ok\n') } },
    { method: 'get', path: '/readyz', handler: (_request, response) => { response.writeHead(view.offset > 0 ? 200 : 503).end() } },
    { method: 'get', path: '/metrics', handler: (_request, response) => sendMetrics(response, metrics) },
    { method: 'post', path: '/v1/completions', handler: handleCompletion },
    { method: 'post', path: '/v1/chat/completions', handler: handleCompletion },
    { method: 'all', path: '/services/*', handler: handleService }
  ])
  lifecycle.register('callers', () => new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  }))
  logger.info('Started.', { port: http.port })
  return { http, link, close: () => lifecycle.close() }
}
