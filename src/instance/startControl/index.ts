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
import { ControlLogs } from '../_lib/ControlLogs'
import { createFetchReply } from '../_lib/createFetchReply'
import { createObserverHandlers } from '../_lib/createObserverHandlers'
import { createOperatorEndpoints } from '../_lib/createOperatorEndpoints'
import { createTargetCommandSender } from '../_lib/createTargetCommandSender'
import { createTelemetry } from '../_lib/createTelemetry'
import { OBSERVER_TIMEOUT_MS } from '../_lib/OBSERVER_TIMEOUT_MS'
import { startIdempotencyGroup } from '../_lib/startIdempotencyGroup'
import { startHttpServer } from '../startHttpServer'

interface RunningControl {
  http: ListenAddress
  link: ListenAddress
  close: () => Promise<void>
}

/**
 * @name startControl
 * @category Instance
 * @summary Starts a control replica in this process.
 *
 * @param settings - Checked settings of the process.
 * @returns Bound addresses, and a function that stops the replica.
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
  const idempotencyTable = new IdempotencyTable()
  const logs = await ControlLogs.open({
    settings,
    stateMachines: { settings: tree, commands: new TargetCommandTable(), idempotency: idempotencyTable },
    logger: telemetry.createLogger('log'),
    onFatal: error => {
      logger.error('Fatal error; the process exits.', { kind: error.kind, reason: error.message })
      process.exit(errorTable[error.kind].exitCode)
    }
  })
  const observers = new ObserverTable({ liveMs: OBSERVER_TIMEOUT_MS })
  const identity: LinkIdentity = { instance: settings.instance, incarnation: randomUUID(), zone: settings.zone, role: 'control' }
  const { clusterKey } = settings
  const observerHandlers = createObserverHandlers(observers, request => createFetchReply(logs.getLog('settings'), tree, request))
  const commands = createTargetCommandSender({ sender: identity.incarnation, propose: record => logs.getLog('commands').propose(record) })
  const operatorEndpoints = createOperatorEndpoints({ settings, telemetry, tree, getLog: () => logs.getLog('settings'), observers, commands })
  const handlers = new Map([...observerHandlers, ...startIdempotencyGroup({ table: idempotencyTable, logs, lifecycle }), ...operatorEndpoints.handlers])
  const links = new LinkServer({ identity, clusterKey, handlers, onLink: peer => telemetry.traffic.add(peer) })
  const linkAddress = await links.listen(settings.link)
  lifecycle.register('links', () => links.close())
  logs.start({ identity, clusterKey })
  lifecycle.register('logs', () => logs.close())
  const { address: http, server } = await startHttpServer(settings.http, operatorEndpoints.routes)
  lifecycle.register('HTTP server', () => new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  }))
  logger.info('Started.', { port: http.port })
  return { http, link: linkAddress, close: () => lifecycle.close() }
}
