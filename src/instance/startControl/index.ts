import { randomUUID } from 'node:crypto'
import { ObserverTable } from '../../configuration/ObserverTable'
import { SettingsTree } from '../../configuration/SettingsTree'
import { AppError } from '../../contract/AppError'
import type { ControlSettings } from '../../contract/ControlSettings'
import type { FetchLogRequest } from '../../contract/FetchLogRequest'
import type { FetchLogReply } from '../../contract/FetchLogReply'
import type { ListenAddress } from '../../contract/ListenAddress'
import { ProposeRequest } from '../../contract/ProposeRequest'
import { SettingsChange } from '../../contract/SettingsChange'
import { SettingsChangeResult } from '../../contract/SettingsChangeResult'
import { LifecycleManager } from '../../lifecycle/LifecycleManager'
import { LinkServer } from '../../link/LinkServer'
import type { MessageHandler } from '../../link/MessageHandler'
import { MemoryLog } from '../../log/MemoryLog'
import type { ReplicatedLog } from '../../log/ReplicatedLog'
import { createLogger } from '../../telemetry/createLogger'
import { createPartLogger } from '../../telemetry/createPartLogger'
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
  const log = new MemoryLog(tree)
  const observers = new ObserverTable({ liveMs: OBSERVER_LIVE_MS })
  const links = new LinkServer({
    identity: { instance: settings.instance, incarnation: randomUUID(), zone: settings.zone, role: 'control' },
    clusterKey: settings.clusterKey,
    handlers: new Map<string, MessageHandler>([
      ...createObserverHandlers(observers, request => fetchLog(log, request)),
      ['propose', body => log.propose(ProposeRequest.parse(body).command)]
    ])
  })
  const link = await links.listen(settings.link)
  lifecycle.register('links', () => links.close())
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

async function fetchLog (log: ReplicatedLog, request: FetchLogRequest): Promise<FetchLogReply> {
  await log.waitForCommit(request.offset, request.waitMs)
  const entries = log.listEntries(request.offset, request.maxEntries) ?? []
  return { entries, commitOffset: log.commitOffset, ageMs: 0 }
}
