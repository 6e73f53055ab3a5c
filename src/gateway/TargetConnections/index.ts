import type { Socket } from 'node:net'
import { buildConnector, Pool, type Dispatcher } from 'undici'

const CONNECT_TIMEOUT_MS = 500
/** Used if a target doesn't say how long it keeps idle connections. */
const IDLE_TIMEOUT_MS = 3_000
/** A connection is dropped this much before the target drops it, so that no request crosses its close. */
const IDLE_MARGIN_MS = 1_000
const MAX_IDLE_TIMEOUT_MS = 30_000

interface TargetAddress {
  host: string
  port: number
}

/**
 * @name TargetConnections
 * @category Gateway
 * @summary Kept connections to targets.
 *
 * @description
 * One request is in flight on a connection at a time, and undici neither retries nor pipelines. Bytes that belong to
 * no request end their connection. undici takes an answer without a length as complete when its connection is reset;
 * here it ends with an error, because only a proper end of the connection shows that nothing is missing.
 *
 * @example
 * connections.dispatch({ host: '10.0.0.9', port: 8080 }, { limit: 30, request, handler })
 */
export class TargetConnections {
  readonly #pools = new Map<string, Pool>()
  readonly #connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
  /** True while undici handles the reset of a connection; it does so synchronously. */
  #isResetting = false

  dispatch (address: TargetAddress, { limit, request, handler }: { limit: number, request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler }): void {
    this.#getPool(address, limit).dispatch(request, this.#wrapHandler(handler))
  }

  /** Closes the connections to targets that are not listed any more, once their requests have ended. */
  closeUnlisted (addresses: readonly TargetAddress[]): void {
    const kept = new Set(addresses.map(formatOrigin))
    for (const [origin, pool] of this.#pools) {
      if (kept.has(origin)) continue
      this.#pools.delete(origin)
      void pool.close()
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.#pools.values()].map(pool => pool.destroy()))
    this.#pools.clear()
  }

  #open (options: buildConnector.Options, done: buildConnector.Callback): void {
    this.#connect(options, (...[error, socket]) => {
      if (error) return done(error, null)
      // Registered before undici's own listener, so that it runs first.
      socket.on('error', () => {
        this.#isResetting = true
        queueMicrotask(() => { this.#isResetting = false })
      })
      done(null, socket as Socket)
    })
  }

  #wrapHandler (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (...details) => handler.onRequestStart?.(...details),
      onResponseStart: (...details) => handler.onResponseStart?.(...details),
      onResponseData: (...details) => handler.onResponseData?.(...details),
      onResponseEnd: (controller, trailers) => {
        if (this.#isResetting) handler.onResponseError?.(controller, new Error('The connection was reset before the end of the answer.'))
        else handler.onResponseEnd?.(controller, trailers)
      },
      onResponseError: (...details) => handler.onResponseError?.(...details)
    }
  }

  #getPool (address: TargetAddress, limit: number): Pool {
    const origin = formatOrigin(address)
    let pool = this.#pools.get(origin)
    if (!pool) {
      pool = new Pool(origin, {
        connections: limit,
        pipelining: 1,
        connect: (options, done) => this.#open(options, done),
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
        keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0
      })
      this.#pools.set(origin, pool)
    }
    return pool
  }
}

function formatOrigin ({ host, port }: TargetAddress): string {
  return `http://${host}:${port}`
}
