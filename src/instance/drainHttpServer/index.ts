import type { Server, ServerResponse } from 'node:http'

interface DrainHttpServerOptions {
  /** Time after which connections with requests that still run are closed. */
  timeoutMs: number
}

/** Interval in which kept connections are closed after their last response. */
const IDLE_CHECK_INTERVAL_MS = 20

/**
 * @name drainHttpServer
 * @category Instance
 * @summary Closes an HTTP server after the requests under way have their responses.
 *
 * @description
 * The server accepts no more connections, closes idle ones, and closes the others after their next response. For a server without a load balancer, whose clients try
 * another instance at once.
 *
 * @param server - The server.
 * @param options - `timeoutMs`: time limit in milliseconds.
 * @returns Resolves when all connections are closed.
 *
 * @example
 * const { server } = await startHttpServer(address, routes)
 * lifecycle.register('HTTP server', () => drainHttpServer(server, { timeoutMs: 5_000 }))
 */
export async function drainHttpServer (server: Server, { timeoutMs }: DrainHttpServerOptions): Promise<void> {
  server.prependListener('request', (_request, response: ServerResponse) => response.setHeader('connection', 'close'))
  const idleTimer = setInterval(() => server.closeIdleConnections(), IDLE_CHECK_INTERVAL_MS)
  const limitTimer = setTimeout(() => server.closeAllConnections(), timeoutMs)
  await new Promise<void>(resolve => server.close(() => resolve()))
  clearInterval(idleTimer)
  clearTimeout(limitTimer)
}
