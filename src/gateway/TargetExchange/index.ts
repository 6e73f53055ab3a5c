import type { IncomingHttpHeaders } from 'node:http'
import type { Dispatcher } from 'undici'

interface ExchangeEvents {
  onHead: (status: number, headers: IncomingHttpHeaders) => void
  onData: (chunk: Buffer) => void
  onEnd: () => void
  /** Called when the exchange ends without a complete response. `isSent`: a byte of the request may have been sent. */
  onError: (error: Error, isSent: boolean) => void
}

/** Interim responses (status 1xx) are ignored; more of them than this are no response. */
const MAX_INTERIM_RESPONSES = 100

/**
 * @name TargetExchange
 * @category Gateway
 * @summary One request and its response on a connection to a target, as a dispatch handler for undici.
 *
 * @description
 * Exactly one of `onEnd` and `onError` is called, or neither if the exchange was aborted. The request is written at most
 * once, even if the HTTP client tries to send it again.
 *
 * @param events - Callbacks for the parts of the response.
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
  #interimResponses = 0
  #abortTimer: NodeJS.Timeout | undefined

  constructor (events: ExchangeEvents) {
    this.#events = events
  }

  /** Whether a byte of the request may have been sent. */
  get isSent (): boolean {
    return this.#isSent
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#isEnded || this.#isSent) return controller.abort(new Error('The request was aborted or has already been written.'))
    this.#isSent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    if (this.#isEnded) return
    if (status >= 200) return this.#events.onHead(status, headers)
    if (++this.#interimResponses > MAX_INTERIM_RESPONSES) this.#controller?.abort(new Error('The target sends interim responses without end.'))
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.#isEnded) this.#events.onData(chunk)
  }

  onResponseEnd (): void {
    if (this.#isEnded) return
    this.#stop()
    this.#events.onEnd()
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.#isEnded) return
    this.#stop()
    this.#events.onError(error, this.#isSent)
  }

  pause (): void {
    this.#controller?.pause()
  }

  resume (): void {
    this.#controller?.resume()
  }

  /** Ends the exchange and closes its connection. No callback is called afterwards. */
  abort (): void {
    if (this.#isEnded) return
    this.#stop()
    this.#controller?.abort(new Error('The exchange was aborted.'))
  }

  /** Aborts the exchange unless it ends within this time, in milliseconds. */
  abortAfter (ms: number): void {
    if (this.#isEnded) return
    clearTimeout(this.#abortTimer)
    this.#abortTimer = setTimeout(() => this.abort(), ms).unref()
  }

  #stop (): void {
    this.#isEnded = true
    clearTimeout(this.#abortTimer)
  }
}
