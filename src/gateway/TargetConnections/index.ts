import { Pool, type Dispatcher } from 'undici'
import { createConnector } from '../../target/createConnector'
import { UnparsedByteLimit } from '../../target/UnparsedByteLimit'

const CONNECT_TIMEOUT_MS = 500
/** Used if a target doesn't announce how long it keeps idle connections open. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000
/** An idle connection is closed this much before the target closes it, to avoid sending a request while it closes. */
const KEEP_ALIVE_MARGIN_MS = 1_000
const MAX_KEEP_ALIVE_TIMEOUT_MS = 30_000
/** Bytes without any part of a response after which a connection is closed; a head has 16 KiB at most. */
const MAX_UNPARSED_BYTES = 256 * 1024

interface TargetAddress {
  host: string
  port: number
}

/**
 * @name TargetConnections
 * @category Gateway
 * @summary Pools of keep-alive connections to targets.
 *
 * @description
 * Each connection has one request in flight at a time, and undici neither retries nor pipelines. A connection is closed
 * if it receives bytes that belong to no request. A response without a length is complete when its connection is closed
 * in order, and ends with an error when it is reset.
 *
 * @example
 * connections.dispatch({ host: '10.0.0.9', port: 8080 }, { limit: 30, request, handler })
 */
export class TargetConnections {
  readonly #pools = new Map<string, Pool>()
  readonly #unparsedLimit = new UnparsedByteLimit({ maxBytes: MAX_UNPARSED_BYTES })
  readonly #connect = createConnector({ timeoutMs: CONNECT_TIMEOUT_MS, unparsedLimit: this.#unparsedLimit })

  /** Sends a request. `limit`: maximum number of connections, used when the pool of the target is created. */
  dispatch (address: TargetAddress, { limit, request, handler }: { limit: number, request: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler }): void {
    this.#getPool(address, limit).dispatch(request, this.#unparsedLimit.wrapHandler(handler))
  }

  /** Closes the connections to targets that are no longer listed, once their requests have ended. */
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

  #getPool (address: TargetAddress, limit: number): Pool {
    const origin = formatOrigin(address)
    let pool = this.#pools.get(origin)
    if (!pool) {
      pool = new Pool(origin, {
        connections: limit,
        pipelining: 1,
        connect: this.#connect,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
        keepAliveMaxTimeout: MAX_KEEP_ALIVE_TIMEOUT_MS,
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
