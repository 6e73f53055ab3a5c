import type { SettingsView } from '../../configuration/SettingsView'
import type { AdmissionGate } from '../../schedule/AdmissionGate'
import type { Metrics } from '../../telemetry/Metrics'

interface RouterParts {
  view: SettingsView
  gate: AdmissionGate
}

/**
 * @name registerRouterMetrics
 * @category Instance
 * @summary Registers the metrics of a router that are read from its state at each scrape.
 *
 * @param metrics - Metrics of the process.
 * @param parts - Settings and admission gate of the router.
 *
 * @example
 * registerRouterMetrics(metrics, { view, gate })
 */
export function registerRouterMetrics (metrics: Metrics, parts: RouterParts): void {
  const { view, gate } = parts
  metrics.registerReading({ name: 'queue_length', help: 'Requests that wait for a slot.', read: () => [{ value: gate.countWaiting() }] })
  metrics.registerReading({
    name: 'running',
    help: 'Requests that run on a target.',
    labels: ['target'],
    read: () => view.listAllTargets().map(({ name }) => ({ labels: { target: name }, value: gate.countRunning(name) }))
  })
  metrics.registerReading({ name: 'log_offset', help: 'Applied offset of a log group.', labels: ['group'], read: () => [{ labels: { group: 'settings' }, value: view.offset }] })
}
