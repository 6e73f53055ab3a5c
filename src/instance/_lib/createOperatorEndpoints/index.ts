import type { ObserverTable } from '../../../configuration/ObserverTable'
import type { SettingsTree } from '../../../configuration/SettingsTree'
import type { ControlSettings } from '../../../contract/ControlSettings'
import { RouterStatus } from '../../../contract/RouterStatus'
import type { Link } from '../../../link/Link'
import type { MessageHandler } from '../../../link/MessageHandler'
import { createOperatorRoutes } from '../../createOperatorRoutes'
import { FleetStatusTable } from '../../FleetStatusTable'
import { OperatorApi } from '../../OperatorApi'
import { sendMetrics } from '../../sendMetrics'
import type { startHttpServer } from '../../startHttpServer'
import type { createTelemetry } from '../createTelemetry'
import type { OperatorCall } from '../OperatorCall'

interface CreateOperatorEndpointsOptions {
  settings: ControlSettings
  telemetry: ReturnType<typeof createTelemetry>
  tree: SettingsTree
  getLog: OperatorCall['getLog']
  observers: ObserverTable
  commands: OperatorCall['commands']
}

interface OperatorEndpoints {
  /** Routes for the HTTP server of the control process. */
  routes: Parameters<typeof startHttpServer>[1]
  /** Message handlers for the link server of the control process. */
  handlers: ReadonlyMap<string, MessageHandler>
}

/** Creates the HTTP routes for operators, and the handler for the routers' status reports, which these routes show. */
export function createOperatorEndpoints (options: CreateOperatorEndpointsOptions): OperatorEndpoints {
  const { settings, telemetry, tree, getLog, observers, commands } = options
  const fleet = new FleetStatusTable(performance.now())
  const api = new OperatorApi({
    instance: settings.instance,
    bootstrapToken: settings.bootstrapToken,
    tree,
    getLog,
    fleet,
    commands,
    collectReports: async () => observers.listLive(performance.now())
  })
  telemetry.metrics.registerReading({
    name: 'log_offset',
    help: 'Committed offset of a log group.',
    labels: ['group'],
    read: () => [{ labels: { group: 'settings' }, value: getLog().commitOffset }]
  })
  const handleStatus = (body: unknown, link: Link): void => {
    const status = RouterStatus.parse(body)
    const { instance, incarnation, zone, role } = link.peer
    if (role !== 'router') return
    fleet.record(link.peer, status, performance.now())
    observers.record({ instance, incarnation, zone, offset: status.offset, ageMs: 0 }, performance.now())
  }
  return {
    routes: [
      { method: 'get', path: '/healthz', handler: (_request, response) => { response.end('ok\n') } },
      { method: 'get', path: '/readyz', handler: (_request, response) => { response.writeHead(getLog().getStatus().leader === undefined ? 503 : 200).end() } },
      { method: 'get', path: '/metrics', handler: (_request, response) => sendMetrics(response, telemetry.metrics) },
      ...createOperatorRoutes(api, telemetry.createLogger('operator'))
    ],
    handlers: new Map<string, MessageHandler>([['reportStatus', handleStatus]])
  }
}
