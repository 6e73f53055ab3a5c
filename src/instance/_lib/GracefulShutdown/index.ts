import type { Server, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'

interface GracefulShutdownOptions {
  /** Time between the start of the shutdown, from which the readiness check fails, and the close of the listener. */
  lameDuckMs: number
  /** Time limit of the whole shutdown. */
  stopTimeoutMs: number
  /** Number of running calls with an idempotency key, including those whose callers disconnected. */
  countKeyedCalls: () => number
}

const POLL_INTERVAL_MS = 20

/**
 * Shuts down the HTTP server for callers. The router keeps serving during the lame-duck period; its responses close
 * their connections, so that callers reconnect to other routers. Requests that are still running at the time limit of
 * the shutdown are interrupted.
 */
export class GracefulShutdown {
  readonly #options: GracefulShutdownOptions
  readonly #active = new Set<ServerResponse>()
  #server?: Server
  #isShuttingDown = false

  constructor (options: GracefulShutdownOptions) {
    this.#options = options
  }

  get isShuttingDown (): boolean {
    return this.#isShuttingDown
  }

  /** Tracks the requests of a server from now on. */
  watch (server: Server): void {
    this.#server = server
    server.prependListener('request', (_request, response: ServerResponse) => {
      this.#active.add(response)
      response.once('close', () => this.#active.delete(response))
      if (this.#isShuttingDown) response.setHeader('connection', 'close')
    })
  }

  async close (): Promise<void> {
    const { lameDuckMs, stopTimeoutMs } = this.#options
    const deadlineAtMs = performance.now() + stopTimeoutMs
    this.#isShuttingDown = true
    for (const response of this.#active) if (!response.headersSent) response.setHeader('connection', 'close')
    await wait(Math.min(lameDuckMs, stopTimeoutMs))
    this.#server?.close()
    while (this.#countRunning() > 0 && performance.now() < deadlineAtMs) {
      this.#server?.closeIdleConnections()
      await wait(POLL_INTERVAL_MS)
    }
    this.#server?.closeAllConnections()
  }

  #countRunning (): number {
    return this.#active.size + this.#options.countKeyedCalls()
  }
}
