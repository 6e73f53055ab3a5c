import type { PartLogger } from '../PartLogger'
import type { RequestObservation } from '../RequestObservation'
import type { RequestObserver } from '../RequestObserver'

const silentLogger: PartLogger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const silentObservation: RequestObservation = {
  requestId: '',
  logger: silentLogger,
  traceHeaders: {},
  setCall: () => {},
  startHop: () => ({ stop: () => {} }),
  close: () => {}
}

/**
 * @name silentRequestObserver
 * @category Telemetry
 * @summary A request observer that records nothing, for tests and embedders.
 *
 * @example
 * silentRequestObserver.startRequest({ method: 'GET', path: '/' }).startHop('queue').stop()
 */
export const silentRequestObserver: RequestObserver = { startRequest: () => silentObservation }
