import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'

interface ExchangeEvents {
  onHead: (status: number, headers: IncomingHttpHeaders) => void
  onData: (chunk: Buffer) => void
  onEnd: () => void
  /** The exchange ended without a complete answer. `isSent` tells whether a byte of the request can have left. */
  onError: (error: Error, isSent: boolean) => void
}

/**
 * @name TargetExchange
 * @category Gateway
 * @summary One request on a connection to a target, as a handler for undici.
 *
 * @description
 * Exactly one of `onEnd` and `onError` is called, unless the exchange was aborted: then neither is. A second write of
 * the same request is prevented, whatever the reason of the HTTP client for it.
 *
 * @param events - Called as the answer arrives.
 *
 * @example
 * const exchange = new TargetExchange(events)
 * connections.dispatch(address, { limit, request, handler: exchange })
 */
export class TargetExchange implements Dispatcher.DispatchHandler {
  readonly #events: ExchangeEvents
  #controller: Dispatcher.DispatchController | undefined
  #isSent = false
  #isEnded = false

  constructor (events: ExchangeEvents) {
    this.#events = events
  }

  get isSent (): boolean {
    return this.#isSent
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#isEnded || this.#isSent) return controller.abort(new Error('The request must not be written.'))
    this.#isSent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (status >= 200 && !this.#isEnded) this.#events.onHead(status, headers)
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#isEnded) this.#events.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#events.onEnd()
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#events.onError(error, this.#isSent)
  }

  pause (): void {
    this.#controller?.pause()
  }

  resume (): void {
    this.#controller?.resume()
  }

  /** Ends the exchange and its connection. Nothing is called afterwards. */
  abort (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#controller?.abort(new Error('The exchange was aborted.'))
  }
}
