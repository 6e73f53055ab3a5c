import { randomUUID } from 'node:crypto'
import { ObserverTable } from '../../configuration/ObserverTable'
import { SettingsTree } from '../../configuration/SettingsTree'
import type { ControlSettings } from '../../contract/ControlSettings'
import type { FetchLogRequest } from '../../contract/FetchLogRequest'
import type { FetchLogReply } from '../../contract/FetchLogReply'
import type { ListenAddress } from '../../contract/ListenAddress'
import { ProposeRequest } from '../../contract/ProposeRequest'
import type { QuorumStatus } from '../../contract/QuorumStatus'
import { LinkServer } from '../../link/LinkServer'
import type { MessageHandler } from '../../link/MessageHandler'
import { MemoryLog } from '../../log/MemoryLog'
import type { ReplicatedLog } from '../../log/ReplicatedLog'
import { createObserverHandlers } from '../_lib/createObserverHandlers'
import { createOperators } from '../_lib/createOperators'
import { createTelemetry } from '../_lib/createTelemetry'
import { OBSERVER_LIVE_MS } from '../_lib/OBSERVER_LIVE_MS'
import { startHttpServer } from '../startHttpServer'

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
  const telemetry = createTelemetry(settings, 'control')
  const { logger, lifecycle } = telemetry
  const tree = new SettingsTree()
  const log = new MemoryLog(tree)
  const observers = new ObserverTable({ liveMs: OBSERVER_LIVE_MS })
  const operators = createOperators({
    settings,
    telemetry,
    tree,
    log,
    observers,
    collectReports: async () => observers.listLive(performance.now()),
    getQuorum: () => createQuorumStatus(settings.instance, log)
  })
  const links = new LinkServer({
    identity: { instance: settings.instance, incarnation: randomUUID(), zone: settings.zone, role: 'control' },
    clusterKey: settings.clusterKey,
    onLink: link => telemetry.traffic.add(link),
    handlers: new Map<string, MessageHandler>([
      ...createObserverHandlers(observers, request => fetchLog(log, request)),
      ...operators.handlers,
      ['propose', body => log.propose(ProposeRequest.parse(body).command)]
    ])
  })
  const link = await links.listen(settings.link)
  lifecycle.register('links', () => links.close())
  const { address: http, server } = await startHttpServer(settings.http, operators.routes)
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

function createQuorumStatus (instance: string, log: ReplicatedLog): QuorumStatus {
  return { role: 'leader', leader: instance, term: 1, commitOffset: log.commitOffset, replicas: [{ instance, isVoter: true, offset: log.commitOffset }] }
}
