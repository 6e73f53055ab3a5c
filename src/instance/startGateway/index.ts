import { randomUUID } from 'node:crypto'
import type { HeaderCodec } from '../../contract/HeaderCodec'
import type { DocumentCodec } from '../../contract/DocumentCodec'
import type { GatewaySettings } from '../../contract/GatewaySettings'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import type { StoredDocument } from '../../contract/StoredDocument'
import type { TargetEntry } from '../../contract/TargetEntry'
import { GatewayCall } from '../../gateway/GatewayCall'
import type { GatewayContext } from '../../gateway/GatewayContext'
import { PlacementClient } from '../../gateway/PlacementClient'
import { Placer } from '../../gateway/Placer'
import { TargetConnections } from '../../gateway/TargetConnections'
import type { LifecycleManager } from '../../lifecycle/LifecycleManager'
import { FleetRetryBudget } from '../../routing/FleetRetryBudget'
import { RouteTable } from '../../routing/RouteTable'
import { TargetDirectory } from '../../routing/TargetDirectory'
import { TargetListReader } from '../../routing/TargetListReader'
import { TargetLoads } from '../../routing/TargetLoads'
import type { TargetSource } from '../../routing/TargetSource'
import type { Metrics } from '../../telemetry/Metrics'
import type { PartLogger } from '../../telemetry/PartLogger'
import type { Tracer } from '../../telemetry/Tracer'
import { EventLoopMonitor } from '../_lib/EventLoopMonitor'
import { FleetFollower } from '../_lib/FleetFollower'
import { GracefulStop } from '../_lib/GracefulStop'
import { startReadiness } from '../_lib/startReadiness'
import { startHttpServer } from '../startHttpServer'

interface StartGatewayOptions {
  documents: DocumentCodec
  calls: HeaderCodec
  source: TargetSource
  logger: PartLogger
  metrics: Metrics
  tracer: Tracer
  lifecycle: LifecycleManager
}

interface RunningGateway {
  /** More registry replicas to follow, after the settings changed. */
  addSeeds: (hosts: readonly string[]) => void
}

/** The router reads the list of targets itself when the registry's copy is older than this. */
const LIST_STALE_MS = 1_800
const LIST_INTERVAL_MS = 1_000
/** Time in which the load balancer notices a failing readiness check. */
const LAME_DUCK_MS = 3_000
/** Kept from the time between the request to stop and the end, for the end itself. */
const STOP_MARGIN_MS = 500

/**
 * @name startGateway
 * @category Instance
 * @summary Starts a router that serves by routes.
 *
 * @description
 * The router is ready once it knows a route document and the list of targets. It keeps both while the registry is out
 * of reach, and then reads the list itself. A router with more work than processor time says that it is not ready.
 *
 * @param settings - Checked settings of the process.
 * @param options - Codecs, source of the list, logger, metrics, tracer and lifecycle manager.
 * @returns Functions for the owner of the process.
 * @throws Error if an address can't be bound.
 *
 * @example
 * const gateway = await startGateway(settings, { documents, calls, source, logger, metrics, tracer, lifecycle })
 */
export async function startGateway (settings: GatewaySettings, options: StartGatewayOptions): Promise<RunningGateway> {
  const { logger, lifecycle, metrics } = options
  let table: RouteTable | undefined
  const directory = new TargetDirectory()
  const loads = new TargetLoads()
  const placer = new Placer({ zone: settings.zone, loads, listTargets: service => directory.list(service), random: Math.random })
  const placements = new PlacementClient({
    getLink: () => follower.leaderLink,
    getMemoryTokens: service => table?.findService(service)?.engine?.memoryTokens,
    countRouters: () => loads.routers,
    logger
  })
  lifecycle.register('placements', () => placements.close())
  const connections = new TargetConnections()
  lifecycle.register('target connections', () => connections.close())
  const monitor = new EventLoopMonitor(logger)
  monitor.start()
  lifecycle.register('event loop monitor', () => monitor.close())
  const context: GatewayContext = {
    ...options,
    codec: options.calls,
    zone: settings.zone,
    budget: new FleetRetryBudget(settings.retries),
    getTable: () => table,
    findTarget: id => directory.find(id),
    isShedding: () => monitor.isShedding(),
    placements,
    placer,
    loads,
    connections
  }
  const front = await startHttpServer(settings.front, [
    { method: 'all', path: '*', handler: (request, response) => new GatewayCall(request, response, context).run() }
  ])
  front.server.requestTimeout = 0
  monitor.watch(front.server)
  const handleDocument = ({ version, content }: StoredDocument): void => {
    table = new RouteTable(options.documents.decode(content))
    const { headerTimeoutMs, idleTimeoutMs } = table.document.limits
    front.server.headersTimeout = headerTimeoutMs
    front.server.keepAliveTimeout = idleTimeoutMs
    logger.info('A route document is in force.', { version, routes: table.document.routes.length, accounts: table.document.accounts.length })
  }
  const handleTargets = (entries: readonly TargetEntry[]): void => {
    if (!directory.replace(entries)) return
    connections.closeOthers(entries)
    placements.setTargets(entries)
    logger.info('The list of targets changed.', { targets: entries.length, draining: entries.filter(({ isDraining }) => isDraining).length })
  }
  const follower = createFollower(settings, { logger, loads, onDocument: handleDocument, onTargets: handleTargets })
  follower.start()
  lifecycle.register('registry', () => follower.close())
  const reader = createFallbackReader(follower, { source: options.source, onRead: handleTargets, logger })
  reader.start()
  lifecycle.register('list of targets', () => reader.close())
  const stop = new GracefulStop({ lameDuckMs: LAME_DUCK_MS, stopTimeoutMs: settings.graceS * 1_000 - STOP_MARGIN_MS, countDetached: () => 0 })
  const isReady = (): boolean => table !== undefined && directory.isKnown && !stop.isStopping && !monitor.isOverloaded
  await startReadiness(settings.ready, { isReady, metrics, lifecycle })
  stop.watch(front.server)
  lifecycle.register('callers', () => stop.close())
  logger.info('Started.', { port: front.address.port })
  return { addSeeds: hosts => follower.addReplicas(hosts) }
}

interface CreateFollowerOptions extends Pick<ConstructorParameters<typeof FleetFollower>[0], 'onDocument' | 'onTargets'> {
  logger: PartLogger
  loads: TargetLoads
}

function createFollower (settings: GatewaySettings, { logger, loads, onDocument, onTargets }: CreateFollowerOptions): FleetFollower {
  const identity: LinkIdentity = { instance: settings.instance.toLowerCase(), incarnation: randomUUID(), zone: settings.zone, role: 'router' }
  return new FleetFollower({
    seeds: settings.seeds.map(({ host }) => host),
    linkPort: settings.linkPort,
    linkOptions: { identity, clusterKey: settings.clusterKey, handlers: new Map(), onError: error => logger.warn('A connection was closed.', { kind: error.kind, reason: error.message }) },
    logger,
    onDocument,
    onTargets,
    createReport: () => ({ targets: loads.createReport() }),
    onSummary: summary => loads.setOthers(summary, performance.now())
  })
}

/** Reads the list of targets here while the registry's copy is too old. */
function createFallbackReader (follower: FleetFollower, { source, onRead, logger }: { source: TargetSource, onRead: (entries: readonly TargetEntry[]) => void, logger: PartLogger }): TargetListReader {
  const startedAtMs = performance.now()
  return new TargetListReader({
    source,
    intervalMs: LIST_INTERVAL_MS,
    isNeeded: () => performance.now() - Math.max(startedAtMs, follower.targetsReadAtMs) > LIST_STALE_MS,
    onRead,
    onError: error => logger.warn('The list of targets can not be read.', { reason: String(error) })
  })
}
