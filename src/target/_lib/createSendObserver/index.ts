import type { Dispatcher } from 'undici'
import type { SendState } from '../SendState'

/**
 * Creates an undici interceptor that marks a request as sent when undici starts to write it. undici calls
 * `onRequestStart` before each write.
 */
export function createSendObserver (state: SendState): Dispatcher.DispatcherComposeInterceptor {
  return dispatch => (options, handler) => dispatch(options, wrapHandler(handler, state))
}

function wrapHandler (handler: Dispatcher.DispatchHandler, state: SendState): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      handler.onRequestStart?.(controller, context)
      if (!controller.aborted) startSend(controller, state)
    },
    onRequestUpgrade: (...details) => handler.onRequestUpgrade?.(...details),
    onResponseStart: (...details) => handler.onResponseStart?.(...details),
    onResponseData: (...details) => handler.onResponseData?.(...details),
    onResponseEnd: (...details) => handler.onResponseEnd?.(...details),
    onResponseError: (...details) => handler.onResponseError?.(...details)
  }
}

function startSend (controller: Dispatcher.DispatchController, state: SendState): void {
  try {
    state.start()
  } catch (error) {
    controller.abort(error as Error)
  }
}
