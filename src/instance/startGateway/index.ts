import { randomUUID } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { HeaderCodec } from '../../contract/HeaderCodec'
import type { DocumentCodec } from '../../contract/DocumentCodec'
import type { GatewaySettings } from '../../contract/GatewaySettings'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import type { StoredDocument } from '../../contract/StoredDocument'
import type { TargetEntry } from '../../contract/TargetEntry'
import { BufferBudget } from '../../gateway/BufferBudget'
import { GatewayCall } from '../../gateway/GatewayCall'
import type { GatewayContext } from '../../gateway/GatewayContext'
import { OverloadGate } from '../../gateway/OverloadGate'
import { PlacementClient } from '../../gateway/PlacementClient'
import { LeastLoadedSelector } from '../../gateway/LeastLoadedSelector'
import { TargetConnections } from '../../gateway/TargetConnections'
import { WriteBatcher } from '../../gateway/WriteBatcher'
import type { LifecycleManager } from '../../lifecycle/LifecycleManager'
import { FleetRetryBudget } from '../../routing/FleetRetryBudget'
import { RouteTable } from '../../routing/RouteTable'
import { TargetDirectory } from '../../routing/TargetDirectory'
import { TargetListReader } from '../../routing/TargetListReader'
import { TargetLoads } from '../../routing/TargetLoads'
import type { TargetSource } from '../../routing/TargetSource'
import type { Metrics } from '../../telemetry/Metrics'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import type { Tracer } from '../../telemetry/Tracer'
import { EventLoopMonitor } from '../_lib/EventLoopMonitor'
import { GracefulShutdown } from '../_lib/GracefulShutdown'
import { ReadinessCheck } from '../_lib/ReadinessCheck'
import { RegistryClient } from '../_lib/RegistryClient'
import { startReadinessServer } from '../_lib/startReadinessServer'
import { registerGatewayMetrics } from '../registerGatewayMetrics'
import { startHttpServer } from '../startHttpServer'

interface StartGatewayOptions {
  documents: DocumentCodec
  calls: HeaderCodec
  source: TargetSource
  logger: ComponentLogger
  metrics: Metrics
  tracer: Tracer
  lifecycle: LifecycleManager
}

interface RunningGateway {
  /** Adds registry replicas to connect to, after the settings changed. */
  addSeeds: (hosts: readonly string[]) => void
}

/** The router reads the list of targets from its source while the registry's copy is older than this. */
const MAX_LIST_AGE_MS = 1_800
const LIST_INTERVAL_MS = 1_000
/** Time that the load balancer needs to notice a failing readiness check. */
const LAME_DUCK_MS = 3_000
/**
 * Time between the start of a stop and the refusal of new calls. The load balancer has noticed the failing check by then
 * in most cases, and the rest of the lame-duck period is a margin for requests that are on their way.
 */
const REFUSE_AFTER_MS = 2_500
/**
 * Node.js accepts one connection in each iteration of its event loop. At a busy router a longer queue holds connections
 * whose callers have given up by the time that they are accepted.
 */
const BACKLOG = 32
/** Memory for the responses that are buffered. The process and buffers that are not collected yet need three times as much. */
const MAX_BUFFERED_BYTES = 48 * 1024 * 1024
/** Part of the grace period that is left for the exit of the process. */
const EXIT_MARGIN_MS = 500

/**
 * @name startGateway
 * @category Instance
 * @summary Starts a router that forwards requests according to the route document.
 *
 * @description
 * The router is ready once it has a route document and the list of targets. While the registry is unreachable it keeps
 * both, and reads the list from its source. While its event loop is overloaded, the router reports that it is not ready,
 * if the leader of the registry permits it: not all routers may leave the rotation at once. If the process begins to stop
 * while the router starts, the router opens no listener for callers.
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
  let routeTable: RouteTable | undefined
  let decodeMs = 0
  const directory = new TargetDirectory()
  const loads = new TargetLoads()
  const selector = new LeastLoadedSelector({ zone: settings.zone, loads, listTargets: service => directory.list(service), random: Math.random })
  const placements = new PlacementClient({
    getLink: () => registry.leaderLink,
    getMemoryTokens: service => routeTable?.findService(service)?.engine?.memoryTokens,
    getLoadShare: () => loads.ownShare,
    logger
  })
  lifecycle.register('placements', () => placements.close())
  const connections = new TargetConnections()
  lifecycle.register('target connections', () => connections.close())
  const monitor = new EventLoopMonitor(logger, { backlog: BACKLOG, onOverloaded: () => { void registry.reportLoad() } })
  lifecycle.register('event loop monitor', () => monitor.close())
  const gate = new OverloadGate({
    clock: monitor,
    acceptClock: monitor.acceptClock,
    admission: monitor.admission,
    loadLog: monitor.loadLog,
    codec: options.calls,
    getTable: () => routeTable,
    getRetryAfterS: () => monitor.retryAfterS,
    isClosing: () => monitor.isOutOfRotation,
    onRefused: () => monitor.recordRefusal(),
    logger
  })
  lifecycle.register('overload gate', () => gate.close())
  const batcher = new WriteBatcher({ isBusy: () => monitor.isBusy })
  lifecycle.register('write batcher', () => batcher.close())
  const bufferBudget = new BufferBudget({ maxBytes: MAX_BUFFERED_BYTES })
  const readCallId = ({ headers }: IncomingMessage): string => options.calls.readRequestHeaders(headers).id
  const calls = new Set<GatewayCall>()
  const shutdown = new GracefulShutdown({
    lameDuckMs: LAME_DUCK_MS,
    refuseAfterMs: REFUSE_AFTER_MS,
    stopTimeoutMs: settings.graceS * 1_000 - EXIT_MARGIN_MS,
    countKeyedCalls: () => 0,
    readCallId,
    logger,
    refuseUnsentCalls: () => [...calls].filter(call => call.stopUnlessSent()).length,
    interruptCalls: () => calls.forEach(call => call.stop())
  })
  const context: GatewayContext = {
    ...options,
    codec: options.calls,
    zone: settings.zone,
    retryBudget: new FleetRetryBudget(settings.retries),
    getTable: () => routeTable,
    findTarget: id => directory.find(id),
    isRefusing: () => shutdown.isRefusing,
    placements,
    selector,
    loads,
    connections,
    batcher,
    bufferBudget
  }
  let frontServer: Server | undefined
  const applyLimits = (): void => {
    if (!frontServer || !routeTable) return
    const { headerTimeoutMs, idleTimeoutMs } = routeTable.document.limits
    frontServer.headersTimeout = headerTimeoutMs
    frontServer.keepAliveTimeout = idleTimeoutMs
  }
  const handleDocument = ({ version, content }: StoredDocument): void => {
    const startedAtMs = performance.now()
    routeTable = new RouteTable(options.documents.decodeStored(content))
    decodeMs = performance.now() - startedAtMs
    applyLimits()
    logger.info('A route document is in force.', { version, routes: routeTable.document.routes.length, accounts: routeTable.document.accounts.length, bytes: content.length, decodeMs: Math.round(decodeMs) })
  }
  const handleTargets = (entries: readonly TargetEntry[]): void => {
    if (!directory.replace(entries)) return
    connections.closeUnlisted(entries)
    placements.setTargets(entries)
    logger.info('The list of targets changed.', { targets: entries.length, draining: entries.filter(({ isDraining }) => isDraining).length })
  }
  const registry = createRegistryClient(settings, { logger, loads, monitor, gate, placements, onDocument: handleDocument, onTargets: handleTargets })
  registry.start()
  lifecycle.register('registry', () => registry.close())
  const reader = createFallbackReader(registry, { source: options.source, onRead: handleTargets, logger })
  reader.start()
  lifecycle.register('list of targets', () => reader.close())
  const readiness = new ReadinessCheck({
    obstacles: {
      'no-document': () => routeTable === undefined,
      'no-targets': () => !directory.isKnown,
      'not-listening': () => !frontServer?.listening,
      'shutting-down': () => shutdown.isShuttingDown,
      overloaded: () => monitor.isLeaving
    },
    logger
  })
  registerGatewayMetrics(metrics, {
    isReady: () => readiness.isReady(),
    getMsToFirstReady: () => readiness.msToFirstReady,
    getVersion: () => registry.version,
    getDecodeMs: () => decodeMs,
    countOverloads: () => monitor.overloads,
    getLongestIterationMs: () => monitor.longestIterationMs,
    countRefusals: () => gate.refused,
    countBlockedParts: () => placements.countBlockedParts(),
    countBlockedCalls: () => placements.blockedCalls,
    countUnsentProgress: () => placements.unsentProgress,
    getBufferedBytes: () => bufferBudget.totalBytes,
    countEvictedResponses: () => bufferBudget.evictions
  })
  const checkReadiness = (): boolean => {
    monitor.watch()
    return readiness.isReady()
  }
  await startReadinessServer(settings.ready, { isReady: checkReadiness, metrics, lifecycle })
  const running = { addSeeds: (hosts: readonly string[]) => registry.addReplicas(hosts) }
  if (lifecycle.isClosing) return running
  // Registered before the listener opens, so that a stop finds every connection that was accepted.
  lifecycle.register('HTTP server', () => shutdown.close())
  const handleRequest = (request: IncomingMessage, response: ServerResponse): Promise<void> | undefined => {
    const delay = gate.tryAdmit(request, response)
    return delay && runCall(new GatewayCall(request, response, context, delay), calls)
  }
  const front = await startHttpServer(settings.front, [
    { method: 'all', path: '*', handler: handleRequest }
  ], {
    onCreate: server => {
      frontServer = server
      server.requestTimeout = 0
      applyLimits()
      shutdown.watch(server)
      server.on('connection', socket => {
        monitor.acceptClock.observe(socket)
        monitor.loadLog.addConnection()
      })
    },
    backlog: BACKLOG
  })
  logger.info('Started.', { port: front.address.port })
  return running
}

/** Runs a call, and keeps it in the set of running calls until it has ended. */
async function runCall (call: GatewayCall, calls: Set<GatewayCall>): Promise<void> {
  calls.add(call)
  await call.run().finally(() => calls.delete(call))
}

interface CreateRegistryClientOptions extends Pick<ConstructorParameters<typeof RegistryClient>[0], 'onDocument' | 'onTargets'> {
  logger: ComponentLogger
  loads: TargetLoads
  monitor: EventLoopMonitor
  gate: OverloadGate
  placements: PlacementClient
}

function createRegistryClient (settings: GatewaySettings, { logger, loads, monitor, gate, placements, onDocument, onTargets }: CreateRegistryClientOptions): RegistryClient {
  const identity: LinkIdentity = { instance: settings.instance.toLowerCase(), incarnation: randomUUID(), zone: settings.zone, role: 'router' }
  return new RegistryClient({
    seeds: settings.seeds.map(({ host }) => host),
    linkPort: settings.linkPort,
    linkOptions: { identity, clusterKey: settings.clusterKey, handlers: new Map(), onError: error => logger.warn('A connection was closed because of an error.', { kind: error.kind, reason: error.message }) },
    logger,
    onDocument,
    onTargets,
    createReport: () => ({ targets: loads.createReport(), isOverloaded: monitor.isOverloaded, placements: placements.listRequests(), refusedTokens: gate.takeDemand() }),
    onSummary: (summary, link) => {
      placements.applySummary(summary, link)
      loads.setPeerLoads(summary, performance.now())
      monitor.setPermit(summary.mayLeaveRotation)
    }
  })
}

/** Reads the list of targets from its source while the registry's copy is too old. */
function createFallbackReader (registry: RegistryClient, { source, onRead, logger }: { source: TargetSource, onRead: (entries: readonly TargetEntry[]) => void, logger: ComponentLogger }): TargetListReader {
  const startedAtMs = performance.now()
  return new TargetListReader({
    source,
    intervalMs: LIST_INTERVAL_MS,
    isNeeded: () => performance.now() - Math.max(startedAtMs, registry.targetsReadAtMs) > MAX_LIST_AGE_MS,
    onRead,
    onError: error => logger.warn('The list of targets can not be read.', { reason: String(error) })
  })
}
