import type { ComponentLogger } from '../ComponentLogger'
import type { RequestObservation } from '../RequestObservation'
import type { RequestObserver } from '../RequestObserver'

const noopLogger: ComponentLogger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const noopObservation: RequestObservation = {
  requestId: '',
  logger: noopLogger,
  traceHeaders: {},
  setCall: () => {},
  startHop: () => ({ stop: () => {} }),
  close: () => {}
}

/**
 * @name noopRequestObserver
 * @category Telemetry
 * @summary Request observer that records nothing, for tests and for programs that use these modules as a library.
 *
 * @example
 * noopRequestObserver.startRequest({ method: 'GET', path: '/' }).startHop('queue').stop()
 */
export const noopRequestObserver: RequestObserver = { startRequest: () => noopObservation }
