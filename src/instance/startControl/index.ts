import { randomUUID } from 'node:crypto'
import { ObserverTable } from '../../configuration/ObserverTable'
import { SettingsTree } from '../../configuration/SettingsTree'
import { AppError } from '../../contract/AppError'
import type { ControlSettings } from '../../contract/ControlSettings'
import { errorTable } from '../../contract/errorTable'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import type { ListenAddress } from '../../contract/ListenAddress'
import { SettingsChange } from '../../contract/SettingsChange'
import { SettingsChangeResult } from '../../contract/SettingsChangeResult'
import { IdempotencyTable } from '../../idempotency/IdempotencyTable'
import { LifecycleManager } from '../../lifecycle/LifecycleManager'
import { LinkServer } from '../../link/LinkServer'
import { TargetCommandTable } from '../../target/TargetCommandTable'
import { createLogger } from '../../telemetry/createLogger'
import { createPartLogger } from '../../telemetry/createPartLogger'
import { addIdempotencyGroup } from '../_lib/addIdempotencyGroup'
import { ControlLogs } from '../_lib/ControlLogs'
import { createFetchReply } from '../_lib/createFetchReply'
import { createObserverHandlers } from '../_lib/createObserverHandlers'
import { OBSERVER_LIVE_MS } from '../_lib/OBSERVER_LIVE_MS'
import { parseJsonBody } from '../parseJsonBody'
import { readBody } from '../readBody'
import { startHttpServer } from '../startHttpServer'

const MAX_CHANGE_BYTES = 4 * 1024 * 1024

interface RunningControl {
  http: ListenAddress
  link: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startControl
 * @category Instance
 * @summary Starts the control process.
 *
 * @param settings - Checked settings of the process.
 * @returns Bound addresses and a function that stops it.
 * @throws Error if an address can't be bound.
 *
 * @example
 * const control = await startControl(settings)
 * await control.close()
 */
export async function startControl (settings: ControlSettings): Promise<RunningControl> {
  const logger = createPartLogger(createLogger({ instance: settings.instance, level: settings.logLevel }), 'control')
  const lifecycle = new LifecycleManager({ onError: (name, error) => logger.error('A part failed to close.', { name, reason: String(error) }) })
  const tree = new SettingsTree()
  const table = new IdempotencyTable()
  const logs = await ControlLogs.open({
    settings,
    machines: { settings: tree, commands: new TargetCommandTable(), idempotency: table },
    logger,
    onFatal: error => {
      logger.error('The process ends.', { kind: error.kind, reason: error.message })
      process.exit(errorTable[error.kind].exitCode)
    }
  })
  const observers = new ObserverTable({ liveMs: OBSERVER_LIVE_MS })
  const identity: LinkIdentity = { instance: settings.instance, incarnation: randomUUID(), zone: settings.zone, role: 'control' }
  const { clusterKey } = settings
  const observerHandlers = createObserverHandlers(observers, request => createFetchReply(logs.getLog('settings'), tree, request))
  const links = new LinkServer({ identity, clusterKey, handlers: new Map([...observerHandlers, ...addIdempotencyGroup({ table, logs, lifecycle })]) })
  const link = await links.listen(settings.link)
  lifecycle.register('links', () => links.close())
  logs.start({ identity, clusterKey })
  lifecycle.register('logs', () => logs.close())
  const log = logs.getLog('settings')
  const { address: http, server } = await startHttpServer(settings.http, [
    { method: 'get', path: '/healthz', handler: (_request, response) => { response.end('ok\n') } },
    {
      method: 'get',
      path: '/v1/settings',
      handler: (request, response) => {
        const prefix = new URL(request.url ?? '/', 'http://localhost').searchParams.get('prefix') ?? '/'
        response.setHeader('content-type', 'application/json')
        response.end(JSON.stringify({ offset: tree.offset, values: Object.fromEntries(tree.list(prefix)) }))
      }
    },
    {
      method: 'post',
      path: '/v1/changes',
      handler: async (request, response) => {
        const parsed = SettingsChange.safeParse(parseJsonBody(await readBody(request, { maxBytes: MAX_CHANGE_BYTES })))
        if (!parsed.success) throw new AppError('bad-request', 'The body is not a change.')
        const result = SettingsChangeResult.parse(await log.propose(parsed.data))
        response.writeHead(result.status === 'accepted' ? 200 : 409, { 'content-type': 'application/json' })
        response.end(JSON.stringify(result))
      }
    }
  ])
  lifecycle.register('operators', () => new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  }))
  logger.info('Started.', { port: http.port })
  return { http, link, close: () => lifecycle.close() }
}
