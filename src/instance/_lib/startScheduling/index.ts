import type { SettingsView } from '../../../configuration/SettingsView'
import type { RouterSettings } from '../../../contract/RouterSettings'
import type { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import type { LinkOptions } from '../../../link/LinkOptions'
import type { MessageHandler } from '../../../link/MessageHandler'
import { FleetAdmissionGate } from '../../../schedule/FleetAdmissionGate'
import type { MetricsSink } from '../../../schedule/MetricsSink'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'
import type { RouterDirectory } from '../RouterDirectory'
import { ZoneSchedulingNode } from '../ZoneSchedulingNode'
import { TargetPoller } from '../TargetPoller'

interface StartSchedulingOptions {
  settings: RouterSettings
  view: SettingsView
  linkOptions: LinkOptions
  /** Message handlers of the link server; this adds those of the scheduler. */
  handlers: Map<string, MessageHandler>
  lifecycle: LifecycleManager
  logger: ComponentLogger
  /** Whether a target may get new work. By default, unless an operator drains it. */
  isTargetOpen?: (target: string) => boolean
  directory: RouterDirectory
  metrics?: MetricsSink
}

/** Starts the scheduling node and the target poller of a router, and returns the admission gate for its requests. */
export function startScheduling (options: StartSchedulingOptions): FleetAdmissionGate {
  const { settings, view, linkOptions, handlers, lifecycle, logger } = options
  const isTargetOpen = options.isTargetOpen ?? (target => !view.isDrainedByOperator(target))
  const listTargets = () => view.listAllTargets().filter(target => target.zone === settings.zone)
  const gate: FleetAdmissionGate = new FleetAdmissionGate({ view, isTargetOpen, onChange: () => node.notifyChange() })
  const node: ZoneSchedulingNode = new ZoneSchedulingNode({
    instance: settings.instance,
    zone: settings.zone,
    gate,
    directory: options.directory,
    linkOptions,
    metrics: options.metrics ?? { addCount: () => {}, setGauge: () => {} },
    logger,
    getWeight: account => view.getAccount(account)?.weight ?? 1,
    isTargetOpen,
    listTargets
  })
  handlers.set('zoneHello', (body, link) => node.handleHello(body, link))
  handlers.set('h', (body, link) => node.handleHeartbeat(body, link))
  handlers.set('zoneReport', (body, link) => node.handleReport(body, link))
  handlers.set('q', (body, link) => node.handleBatch(body, link))
  handlers.set('g', (body, link) => node.handleGrants(body, link))
  handlers.set('x', (body, link) => node.handlePeerMessage(body, link))
  const unsubscribe = view.subscribe(() => node.updateTargets())
  const poller = new TargetPoller({ listTargets, getScheduler: () => node.schedulerHost?.scheduler })
  node.start()
  poller.start()
  lifecycle.register('target poller', () => poller.stop())
  lifecycle.register('scheduling', () => {
    unsubscribe()
    node.stop()
  })
  lifecycle.register('queued requests', () => gate.stop())
  return gate
}
