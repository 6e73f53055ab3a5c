import type { ComponentLogger } from '../ComponentLogger'
import type { RequestObservation } from '../RequestObservation'
import type { RequestObserver } from '../RequestObserver'

const silentLogger: ComponentLogger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const silentObservation: RequestObservation = {
  requestId: '',
  logger: silentLogger,
  traceHeaders: {},
  setCall: () => {},
  startHop: () => ({ stop: () => {} }),
  close: () => {}
}

/**
 * @name noopRequestObserver
 * @category Telemetry
 * @summary A request observer that records nothing, for tests and embedders.
 *
 * @example
 * noopRequestObserver.startRequest({ method: 'GET', path: '/' }).startHop('queue').stop()
 */
export const noopRequestObserver: RequestObserver = { startRequest: () => silentObservation }
