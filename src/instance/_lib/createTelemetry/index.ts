import { LifecycleManager } from '../../../lifecycle/LifecycleManager'
import { LinkTraffic } from '../../../link/LinkTraffic'
import { createLogger } from '../../../telemetry/createLogger'
import { createComponentLogger } from '../../../telemetry/createComponentLogger'
import { createTracer } from '../../../telemetry/createTracer'
import type { Metrics } from '../../../telemetry/Metrics'
import type { ComponentLogger } from '../../../telemetry/ComponentLogger'
import { PrometheusMetrics } from '../../../telemetry/PrometheusMetrics'
import { RequestCounts } from '../../../telemetry/RequestCounts'
import type { RequestObserver } from '../../../telemetry/RequestObserver'
import { TelemetryRequestObserver } from '../../../telemetry/TelemetryRequestObserver'
import { registerTrafficMetric } from '../../registerTrafficMetric'

interface TelemetrySettings {
  instance: string
  zone: string
  logLevel: 'error' | 'warn' | 'info' | 'debug'
  traceFile?: string
}

interface Telemetry {
  logger: ComponentLogger
  /** Creates a logger with the prefix of another component of the process. */
  createLogger: (component: string) => ComponentLogger
  lifecycle: LifecycleManager
  metrics: Metrics
  counts: RequestCounts
  observer: RequestObserver
  traffic: LinkTraffic
}

/** Logger, metrics and tracer of a process, and its lifecycle manager, which logs errors and closes the trace last. */
export function createTelemetry (settings: TelemetrySettings, component: string): Telemetry {
  const processLogger = createLogger({ instance: settings.instance, level: settings.logLevel })
  const logger = createComponentLogger(processLogger, component)
  const lifecycle = new LifecycleManager({ onError: (name, error) => logger.error('A component failed to close.', { name, reason: String(error) }) })
  const tracer = createTracer({ ...settings, onError: error => logger.error('The trace file can not be written.', { reason: error.message }) })
  lifecycle.register('trace', () => tracer.close())
  const metrics = new PrometheusMetrics({ instance: settings.instance, zone: settings.zone })
  const counts = new RequestCounts()
  const traffic = new LinkTraffic()
  registerTrafficMetric(metrics, traffic)
  const observer = new TelemetryRequestObserver({ logger, metrics, tracer, counts })
  return { logger, createLogger: name => createComponentLogger(processLogger, name), lifecycle, metrics, counts, observer, traffic }
}
