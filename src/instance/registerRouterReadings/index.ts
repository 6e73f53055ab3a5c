import type { SettingsView } from '../../configuration/SettingsView'
import type { LinkTraffic } from '../../link/LinkTraffic'
import type { AdmissionGate } from '../../schedule/AdmissionGate'
import type { Metrics } from '../../telemetry/Metrics'
import { registerTrafficReading } from '../registerTrafficReading'

interface RouterParts {
  view: SettingsView
  gate: AdmissionGate
  traffic: LinkTraffic
}

/**
 * @name registerRouterReadings
 * @category Instance
 * @summary Registers the metrics of a router that are read from its parts.
 *
 * @param metrics - Where to register them.
 * @param parts - Settings, admission and traffic of the router.
 *
 * @example
 * registerRouterReadings(metrics, { view, gate, traffic })
 */
export function registerRouterReadings (metrics: Metrics, parts: RouterParts): void {
  const { view, gate, traffic } = parts
  metrics.registerReading({ name: 'queue_length', help: 'Requests that wait for a slot.', read: () => [{ value: gate.countWaiting() }] })
  metrics.registerReading({
    name: 'running',
    help: 'Requests that run on a target.',
    labels: ['target'],
    read: () => view.listAllTargets().map(({ name }) => ({ labels: { target: name }, value: gate.countRunning(name) }))
  })
  metrics.registerReading({ name: 'log_offset', help: 'Applied offset of a log group.', labels: ['group'], read: () => [{ labels: { group: 'settings' }, value: view.offset }] })
  registerTrafficReading(metrics, traffic)
}
