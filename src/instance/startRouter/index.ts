import { randomUUID } from 'node:crypto'
import type { ListenAddress } from '../../contract/ListenAddress'
import type { RouterSettings } from '../../contract/RouterSettings'
import { LifecycleManager } from '../../lifecycle/LifecycleManager'
import { LinkServer } from '../../link/LinkServer'
import type { LinkOptions } from '../../link/LinkOptions'
import { TargetClient } from '../../target/TargetClient'
import { createLogger } from '../../telemetry/createLogger'
import { createPartLogger } from '../../telemetry/createPartLogger'
import { createPeerDirectory } from '../_lib/createPeerDirectory'
import { createSettings } from '../_lib/createSettings'
import { startScheduling } from '../_lib/startScheduling'
import { CallHandler } from '../CallHandler'
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
  const processLogger = createLogger({ instance: settings.instance, level: settings.logLevel })
  const logger = createPartLogger(processLogger, 'router')
  const lifecycle = new LifecycleManager({ onError: (name, error) => logger.error('A part failed to close.', { name, reason: String(error) }) })
  const directory = createPeerDirectory(settings, logger, lifecycle)
  const { view, ...configuration } = createSettings({ settings, directory, lifecycle })
  const handlers = new Map(configuration.handlers)
  const linkOptions: LinkOptions = {
    identity: { instance: settings.instance, incarnation: randomUUID(), zone: settings.zone, role: 'router' },
    clusterKey: settings.clusterKey,
    handlers,
    onError: error => logger.warn('A connection was closed.', { kind: error.kind, reason: error.message })
  }
  const links = new LinkServer(linkOptions)
  const link = await links.listen(settings.link)
  lifecycle.register('links', () => links.close())
  configuration.start(linkOptions)
  const targets = new TargetClient()
  lifecycle.register('target connections', () => targets.close())
  const gate = startScheduling({ settings, view, directory, linkOptions, handlers, lifecycle, logger: createPartLogger(processLogger, 'schedule') })
  const calls = new CallHandler({ view, gate, targets, maxBodyBytes: settings.maxBodyBytes })
  const { address: http, server } = await startHttpServer(settings.http, [
    { method: 'get', path: '/healthz', handler: (_request, response) => { response.end('ok\n') } },
    { method: 'get', path: '/readyz', handler: (_request, response) => { response.writeHead(view.offset > 0 ? 200 : 503).end() } },
    { method: 'post', path: '/v1/completions', handler: (request, response) => calls.handleCompletion(request, response) },
    { method: 'post', path: '/v1/chat/completions', handler: (request, response) => calls.handleCompletion(request, response) },
    { method: 'all', path: '/services/*', handler: (request, response) => calls.handleService(request, response) }
  ])
  lifecycle.register('callers', () => new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  }))
  logger.info('Started.', { port: http.port })
  return { http, link, close: () => lifecycle.close() }
}
