import { randomUUID } from 'node:crypto'
import type { SettingsView } from '../../configuration/SettingsView'
import type { ListenAddress } from '../../contract/ListenAddress'
import type { RouterSettings } from '../../contract/RouterSettings'
import { LinkServer } from '../../link/LinkServer'
import type { LinkOptions } from '../../link/LinkOptions'
import { ResponseRelay } from '../../target/ResponseRelay'
import { CallDispatcher } from '../../target/CallDispatcher'
import { DrainState } from '../../target/DrainState'
import { HealthWatcher } from '../../target/HealthWatcher'
import { LeavingTargets } from '../../target/LeavingTargets'
import { InFlightRequests } from '../../target/InFlightRequests'
import { TargetClient } from '../../target/TargetClient'
import { MeterRegistry } from '../../telemetry/MeterRegistry'
import { createPeerDirectory } from '../_lib/createPeerDirectory'
import { createSettingsSync } from '../_lib/createSettingsSync'
import { createTelemetry } from '../_lib/createTelemetry'
import { GracefulShutdown } from '../_lib/GracefulShutdown'
import { RunningCalls } from '../_lib/RunningCalls'
import { startIdempotencyClient } from '../_lib/startIdempotencyClient'
import { startScheduling } from '../_lib/startScheduling'
import { CallHandler } from '../CallHandler'
import { KeyedCallRunner } from '../KeyedCallRunner'
import { observeCalls } from '../observeCalls'
import { registerRouterMetrics } from '../registerRouterMetrics'
import { sendMetrics } from '../sendMetrics'
import { startHttpServer } from '../startHttpServer'
import { StatusReporter } from '../StatusReporter'

interface RunningRouter {
  http: ListenAddress
  link: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startRouter
 * @category Instance
 * @summary Starts a router in this process.
 *
 * @param settings - Checked settings of the process.
 * @returns Bound addresses, and a function that stops the router.
 * @throws Error if an address can't be bound.
 *
 * @example
 * const router = await startRouter(settings)
 * await router.close()
 */
export async function startRouter (settings: RouterSettings): Promise<RunningRouter> {
  const telemetry = createTelemetry(settings, 'router')
  const { logger, lifecycle, metrics, observer } = telemetry
  const leaving = new LeavingTargets()
  const directory = createPeerDirectory(settings, logger, lifecycle, instances => leaving.update(instances))
  const { view, ...settingsSync } = createSettingsSync({ settings, directory, lifecycle })
  const handlers = new Map(settingsSync.handlers)
  const incarnation = randomUUID()
  const linkOptions: LinkOptions = {
    identity: { instance: settings.instance, incarnation, zone: settings.zone, role: 'router' },
    clusterKey: settings.clusterKey,
    handlers,
    onLink: link => telemetry.traffic.add(link),
    onError: error => logger.warn('A connection was closed because of an error.', { kind: error.kind, reason: error.message })
  }
  const links = new LinkServer(linkOptions)
  const linkAddress = await links.listen(settings.link)
  lifecycle.register('links', () => links.close())
  settingsSync.start(linkOptions)
  const targets = new TargetClient()
  lifecycle.register('target connections', () => targets.close())
  const running = new InFlightRequests()
  const health = new HealthWatcher({ listTargets: () => view.listAllTargets().filter(({ zone, name }) => zone === settings.zone || running.count(name) > 0) })
  health.start()
  lifecycle.register('health checks', () => health.stop())
  const drains = new DrainState({ settings: view, sources: [leaving, health] })
  lifecycle.register('drain state', () => drains.close())
  const isTargetOpen = (target: string): boolean => drains.isTargetOpen(target)
  const gate = startScheduling({ settings, view, directory, linkOptions, handlers, lifecycle, isTargetOpen, metrics: new MeterRegistry(metrics), logger: telemetry.createLogger('schedule') })
  const dispatcher = new CallDispatcher({ gate, targets, running, isTargetOpen })
  const idempotencyClient = startIdempotencyClient({ incarnation, control: settingsSync.control, lifecycle, listDrainingTargets: () => listDrainingTargets(view, running, isTargetOpen) })
  const keyedCalls = new KeyedCallRunner(dispatcher, idempotencyClient)
  const runningCalls = new RunningCalls({ isRefusing: () => shutdown.isRefusing })
  const callHandler = new CallHandler({ view, relay: new ResponseRelay(dispatcher), keyedCalls, runningCalls, maxBodyBytes: settings.maxBodyBytes })
  registerRouterMetrics(metrics, { view, gate })
  const handleCompletion = observeCalls(observer, (request, response, observation) => callHandler.handleCompletion(request, response, observation))
  const handleService = observeCalls(observer, (request, response, observation) => callHandler.handleService(request, response, observation))
  const shutdown = new GracefulShutdown({ ...settings, countKeyedCalls: () => keyedCalls.countRunning(), readCallId: ({ headers }) => String(headers.traceparent ?? ''), logger, interruptCalls: () => runningCalls.stop() })
  const reporter = new StatusReporter({
    view,
    gate,
    counts: telemetry.counts,
    isReady: () => view.offset > 0 && !shutdown.isShuttingDown,
    listDraining: () => listDrainingTargets(view, running, isTargetOpen).map(({ target }) => target),
    countRunning: target => Math.max(gate.countRunning(target), running.count(target)),
    control: settingsSync.control
  })
  reporter.start()
  lifecycle.register('status reports', () => reporter.stop())
  lifecycle.register('HTTP server', () => shutdown.close())
  const { address: http } = await startHttpServer(settings.http, [
    { method: 'get', path: '/healthz', handler: (_request, response) => { response.end('ok\n') } },
    { method: 'get', path: '/readyz', handler: (_request, response) => { response.writeHead(view.offset > 0 && !shutdown.isShuttingDown ? 200 : 503, { 'papayalead-settings-offset': view.offset }).end() } },
    { method: 'get', path: '/metrics', handler: (_request, response) => sendMetrics(response, metrics) },
    { method: 'post', path: '/v1/completions', handler: handleCompletion },
    { method: 'post', path: '/v1/chat/completions', handler: handleCompletion },
    { method: 'all', path: '/services/*', handler: handleService }
  ], { onCreate: server => shutdown.watch(server) })
  logger.info('Started.', { port: http.port })
  return { http, link: linkAddress, close: () => lifecycle.close() }
}

function listDrainingTargets (view: SettingsView, running: InFlightRequests, isTargetOpen: (target: string) => boolean): Array<{ target: string, running: number }> {
  const closed = view.listAllTargets().filter(({ name }) => !isTargetOpen(name))
  return closed.map(({ name }) => ({ target: name, running: running.count(name) }))
}
