import type { Server, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'

interface GracefulStopOptions {
  /** Time between the failing readiness check and the close of the listener. */
  lameDuckMs: number
  /** Most time for the whole stop. */
  stopTimeoutMs: number
  /** Work that goes on although its caller left. */
  countDetached: () => number
}

const CHECK_EVERY_MS = 20

/**
 * Stops the caller side of a router without interrupting a request. The router goes on serving for the lame-duck
 * period; its responses close their connections, so that callers connect elsewhere.
 */
export class GracefulStop {
  readonly #options: GracefulStopOptions
  readonly #active = new Set<ServerResponse>()
  #server?: Server
  #isStopping = false

  constructor (options: GracefulStopOptions) {
    this.#options = options
  }

  get isStopping (): boolean {
    return this.#isStopping
  }

  /** Follows the requests of a server from now on. */
  watch (server: Server): void {
    this.#server = server
    server.prependListener('request', (_request, response: ServerResponse) => {
      this.#active.add(response)
      response.once('close', () => this.#active.delete(response))
      if (this.#isStopping) response.setHeader('connection', 'close')
    })
  }

  async close (): Promise<void> {
    const { lameDuckMs, stopTimeoutMs } = this.#options
    const endsAtMs = performance.now() + stopTimeoutMs
    this.#isStopping = true
    for (const response of this.#active) if (!response.headersSent) response.setHeader('connection', 'close')
    await wait(Math.min(lameDuckMs, stopTimeoutMs))
    this.#server?.close()
    while (this.#countRunning() > 0 && performance.now() < endsAtMs) {
      this.#server?.closeIdleConnections()
      await wait(CHECK_EVERY_MS)
    }
    this.#server?.closeAllConnections()
  }

  #countRunning (): number {
    return this.#active.size + this.#options.countDetached()
  }
}
