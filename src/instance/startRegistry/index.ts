import { randomUUID } from 'node:crypto'
import { AppError } from '../../contract/AppError'
import type { DocumentCodec } from '../../contract/DocumentCodec'
import { errorTable } from '../../contract/errorTable'
import type { FleetView } from '../../contract/FleetView'
import type { LinkIdentity } from '../../contract/LinkIdentity'
import { LoadReport } from '../../contract/LoadReport'
import type { LoadSummary } from '../../contract/LoadSummary'
import type { RouteDocument } from '../../contract/RouteDocument'
import type { SuspectPart } from '../../contract/SuspectPart'
import type { RegistrySettings } from '../../contract/RegistrySettings'
import { WatchFleetRequest } from '../../contract/WatchFleetRequest'
import type { LifecycleManager } from '../../lifecycle/LifecycleManager'
import { LinkServer } from '../../link/LinkServer'
import type { MessageHandler } from '../../link/MessageHandler'
import { RouteDocumentStore } from '../../routing/RouteDocumentStore'
import { LoadTable } from '../../routing/LoadTable'
import { RotationPermits } from '../../routing/RotationPermits'
import { TargetListReader } from '../../routing/TargetListReader'
import type { TargetSource } from '../../routing/TargetSource'
import type { LogStatus } from '../../log/LogStatus'
import type { Metrics } from '../../telemetry/Metrics'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import { ControlLogs } from '../_lib/ControlLogs'
import { FleetWatchers } from '../_lib/FleetWatchers'
import { PlacementService } from '../_lib/PlacementService'
import { registerRegistryMetrics } from '../registerRegistryMetrics'

/** Interval at which the leader reads the list of targets. The list itself lags by most of a second. */
const LIST_INTERVAL_MS = 500
/** Shorter than the 1 s after which an operator that gets no reply turns to another replica. */
const LOG_TIMEOUT_MS = 900

interface StartRegistryOptions {
  codec: DocumentCodec
  source: TargetSource
  logger: ComponentLogger
  metrics: Metrics
  lifecycle: LifecycleManager
}

interface RunningRegistry {
  /** Stores a document unless its version is stored already. Resolves with the version in force once that is durable. */
  replaceDocument: (content: Uint8Array) => Promise<number>
  /** Reads the newest document, confirmed by a majority; undefined if there is none yet. */
  readDocument: () => Promise<Uint8Array | undefined>
  isLeader: () => boolean
  getStatus: () => LogStatus
  /** Lists the suspected prompt parts. Throws `not-leader` at a replica that does not lead. */
  listSuspects: () => SuspectPart[]
  /** Releases a prompt part by hand; returns whether it was suspected. Throws `not-leader` at a replica that does not lead. */
  releasePart: (part: { service: string, part: string }) => boolean
  /** Adds replicas that may know the leader, after the settings changed. */
  addSeeds: (hosts: readonly string[]) => void
}

/**
 * @name startRegistry
 * @category Instance
 * @summary Starts a replica of the registry: route documents, the list of targets and load reports.
 *
 * @description
 * Route documents are stored in the replicated log. The leader also reads the list of targets for all routers and sums
 * their load reports; both are soft state that a new leader rebuilds within a second.
 *
 * @param settings - Checked settings of the process.
 * @param options - Codec of the documents, source of the list, logger, metrics and lifecycle manager.
 * @returns Functions for the operator API.
 * @throws AppError `log-corrupted` or `disk-failed`; Error if an address can't be bound.
 *
 * @example
 * const registry = await startRegistry(settings, { codec, source, logger, metrics, lifecycle })
 * await registry.replaceDocument(content)
 */
export async function startRegistry (settings: RegistrySettings, { codec, source, logger, metrics, lifecycle }: StartRegistryOptions): Promise<RunningRegistry> {
  let decoded: { version: number, document: RouteDocument } | undefined
  let decodedDocuments = 0
  /** Decodes the stored document when it is first needed: a restart applies many documents of which only the newest counts. */
  const getDocument = (): RouteDocument | undefined => {
    const stored = documents.document
    if (stored && stored.version !== decoded?.version) {
      decoded = { version: stored.version, document: codec.decodeStored(stored.content) }
      decodedDocuments++
    }
    return decoded?.document
  }
  const documents: RouteDocumentStore = new RouteDocumentStore(() => {
    logger.info('A route document is in force.', { version: documents.version, offset: documents.offset })
    watchers.notify()
  })
  const logs = await openLogs(settings, documents, { logger, onRoleChanged: role => { if (role !== 'leader') placement.reset() } })
  const placement = new PlacementService({ isLeader: () => isLeader(), logger, getListAgeMs: () => getListAgeMs(), getMemoryTokens: name => getDocument()?.services.find(service => service.name === name)?.engine?.memoryTokens })
  lifecycle.register('placement', () => placement.close())
  const isLeader = (): boolean => getStatus(logs).role === 'leader'
  const reader = new TargetListReader({
    source,
    intervalMs: LIST_INTERVAL_MS,
    isNeeded: isLeader,
    onChange: entries => {
      placement.setTargets(entries)
      logger.info('The list of targets changed.', { targets: entries.length, draining: entries.filter(({ isDraining }) => isDraining).length })
      watchers.notify()
    },
    onError: error => logger.warn('The list of targets can not be read.', { reason: String(error) })
  })
  const getListAgeMs = (): number => performance.now() - reader.readAtMs
  registerRegistryMetrics(metrics, { getStatus: () => getStatus(logs), getStatistics: () => logs.getLog('documents').statistics, countDecodedDocuments: () => decodedDocuments, getVersion: () => documents.version, getListAgeMs, getPlacements: () => placement.getCounts(), getLowestShare: () => placement.getLowestShare(), getTracking: () => placement.getTracking(), getQuarantine: () => placement.getQuarantineCounts() })
  const watchers = new FleetWatchers({ getView: request => createFleetView(request, { logs, documents, reader }) })
  const loads = new LoadTable()
  const permits = new RotationPermits()
  const handlers = new Map<string, MessageHandler>([
    ...logs.handlers,
    ...placement.handlers,
    ['watchFleet', body => watchers.watch(WatchFleetRequest.parse(body))],
    ['fetchDocument', () => documents.document ?? null],
    ['reportLoad', (body, link) => {
      if (!isLeader()) throw new AppError('not-leader', 'This replica is not the leader, so it does not merge load reports.')
      const { instance, zone } = link.peer
      const report = LoadReport.parse(body)
      const unknownPlacements = placement.observeRouter(link, report)
      loads.record(instance, report, performance.now())
      const mayLeaveRotation = permits.observe({ router: instance, zone, isOverloaded: report.isOverloaded }, performance.now())
      return { ...loads.computeSummary(instance, performance.now()), mayLeaveRotation, suspects: [...placement.getSuspects()], term: getStatus(logs).term, shares: placement.getShares(), unknownPlacements } satisfies LoadSummary
    }]
  ])
  // This incarnation identifies the process; the incarnation of its disk is part of the replica id.
  const identity: LinkIdentity = { instance: settings.host, incarnation: randomUUID(), zone: settings.zone, role: 'control' }
  const links = new LinkServer({ identity, clusterKey: settings.clusterKey, handlers })
  await links.listen({ host: settings.host, port: settings.linkPort })
  lifecycle.register('links', () => links.close())
  logs.start({ identity, clusterKey: settings.clusterKey })
  lifecycle.register('logs', () => logs.close())
  reader.start()
  lifecycle.register('list of targets', () => reader.close())
  return {
    isLeader,
    getStatus: () => getStatus(logs),
    listSuspects: () => placement.listSuspects(),
    releasePart: part => placement.releasePart(part),
    addSeeds: hosts => logs.getLog('documents').addPeers(hosts),
    replaceDocument: async content => {
      const { version } = codec.decode(content)
      return Number(await logs.getLog('documents').propose({ version, content }, { timeoutMs: LOG_TIMEOUT_MS }))
    },
    readDocument: async () => {
      await logs.getLog('documents').confirmRead({ timeoutMs: LOG_TIMEOUT_MS })
      return documents.document?.content
    }
  }
}

function openLogs (settings: RegistrySettings, documents: RouteDocumentStore, { logger, onRoleChanged }: { logger: ComponentLogger, onRoleChanged: (role: string) => void }): Promise<ControlLogs> {
  const { host, zone, linkPort, dataDir, snapshotEvery, toleratedLosses } = settings
  const seeds = settings.seeds.map(seed => seed.host)
  return ControlLogs.open({
    settings: {
      instance: host,
      dataDir,
      snapshotEvery,
      maxVoters: 2 * toleratedLosses + 1,
      // A replica that is not a seed would form a second cluster beside that of the seeds.
      mayForm: settings.mayForm && seeds.includes(host),
      replicas: seeds.map(seed => ({ instance: seed, zone, host: seed, port: linkPort }))
    },
    findAddress: instance => ({ host: instance, port: linkPort }),
    stateMachines: { documents },
    logger,
    onRoleChanged,
    onFatal: error => {
      logger.error('Fatal error; the process exits.', { kind: error.kind, reason: error.message })
      process.exit(errorTable[error.kind].exitCode)
    }
  })
}

function getStatus (logs: ControlLogs): LogStatus {
  return logs.listStatuses()[0]
}

function createFleetView (request: WatchFleetRequest, { logs, documents, reader }: { logs: ControlLogs, documents: RouteDocumentStore, reader: TargetListReader }): FleetView {
  const { role, members } = getStatus(logs)
  const view: FleetView = { version: documents.version, replicas: members.map(({ instance }) => instance), isLeader: role === 'leader', targetRevision: request.targetRevision }
  if (role !== 'leader' || reader.readAtMs === -Infinity) return view
  const isKnown = reader.revision === request.targetRevision
  return { ...view, targetRevision: reader.revision, targetAgeMs: performance.now() - reader.readAtMs, targets: isKnown ? undefined : reader.entries }
}
