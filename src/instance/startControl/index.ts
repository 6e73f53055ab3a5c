import { randomUUID } from 'node:crypto'
import { ObserverTable } from '../../configuration/ObserverTable'
import { SettingsTree } from '../../configuration/SettingsTree'
import type { ControlSettings } from '../../contract/ControlSettings'
import { errorTable } from '../../contract/errorTable'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import type { ListenAddress } from '../../contract/ListenAddress'
import { IdempotencyTable } from '../../idempotency/IdempotencyTable'
import { LinkServer } from '../../link/LinkServer'
import { TargetCommandTable } from '../../target/TargetCommandTable'
import { addIdempotencyGroup } from '../_lib/addIdempotencyGroup'
import { ControlLogs } from '../_lib/ControlLogs'
import { createFetchReply } from '../_lib/createFetchReply'
import { createObserverHandlers } from '../_lib/createObserverHandlers'
import { createOperators } from '../_lib/createOperators'
import { createTargetCommands } from '../_lib/createTargetCommands'
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
  const table = new IdempotencyTable()
  const logs = await ControlLogs.open({
    settings,
    machines: { settings: tree, commands: new TargetCommandTable(), idempotency: table },
    logger: telemetry.createLogger('log'),
    onFatal: error => {
      logger.error('The process ends.', { kind: error.kind, reason: error.message })
      process.exit(errorTable[error.kind].exitCode)
    }
  })
  const observers = new ObserverTable({ liveMs: OBSERVER_LIVE_MS })
  const identity: LinkIdentity = { instance: settings.instance, incarnation: randomUUID(), zone: settings.zone, role: 'control' }
  const { clusterKey } = settings
  const observerHandlers = createObserverHandlers(observers, request => createFetchReply(logs.getLog('settings'), tree, request))
  const commands = createTargetCommands({ sender: identity.incarnation, propose: record => logs.getLog('commands').propose(record) })
  const operators = createOperators({ settings, telemetry, tree, getLog: () => logs.getLog('settings'), observers, commands })
  const handlers = new Map([...observerHandlers, ...addIdempotencyGroup({ table, logs, lifecycle }), ...operators.handlers])
  const links = new LinkServer({ identity, clusterKey, handlers, onLink: peer => telemetry.traffic.add(peer) })
  const link = await links.listen(settings.link)
  lifecycle.register('links', () => links.close())
  logs.start({ identity, clusterKey })
  lifecycle.register('logs', () => logs.close())
  const { address: http, server } = await startHttpServer(settings.http, operators.routes)
  lifecycle.register('operators', () => new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  }))
  logger.info('Started.', { port: http.port })
  return { http, link, close: () => lifecycle.close() }
}
