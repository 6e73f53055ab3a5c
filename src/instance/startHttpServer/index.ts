import { createServer, STATUS_CODES, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import polka, { type Polka } from 'polka'
import { AppError } from '../../contract/AppError'
import type { ErrorKind } from '../../contract/ErrorKind'
import { errorTable } from '../../contract/errorTable'
import type { ListenAddress } from '../../contract/ListenAddress'
import { sendError } from '../sendError'
import { watchIdleConnections } from './_lib/watchIdleConnections'

type HttpHandler = (request: polka.Request, response: ServerResponse) => Promise<void> | void

interface HttpRoute {
  method: 'get' | 'post' | 'put' | 'delete' | 'all'
  path: string
  handler: HttpHandler
}

interface StartHttpServerOptions {
  /** Called with the server before it accepts connections. */
  onCreate?: (server: Server) => void
  /** Most connections that wait to be accepted; further ones are not established. Defaults to that of Node.js, 511. */
  backlog?: number
}

interface HttpServer {
  address: ListenAddress
  server: Server
}

const MAX_HEADER_BYTES = 16 * 1024
const HEADERS_TIMEOUT_MS = 10_000
const REQUEST_TIMEOUT_MS = 60_000
/** Error kinds by the codes of Node.js; others mean that the request is malformed. */
const KIND_BY_CODE: Readonly<Record<string, ErrorKind>> = {
  HPE_HEADER_OVERFLOW: 'headers-too-large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout'
}

/**
 * @name startHttpServer
 * @category Instance
 * @summary Starts an HTTP server with routes.
 *
 * @description
 * Errors of handlers are sent as error responses. Slow senders are disconnected by the header and request time-outs.
 *
 * @param address - Where to listen.
 * @param routes - Handlers by method and path, in the pattern syntax of polka.
 * @param options - `onCreate`: called with the server before it accepts connections; `backlog`: most connections that wait
 * to be accepted.
 * @returns The bound address and the server.
 * @throws Error of node:net if the address can't be bound.
 *
 * @example
 * const { address } = await startHttpServer({ host: '127.0.0.1', port: 0 }, [{ method: 'get', path: '/healthz', handler }])
 */
export async function startHttpServer (address: ListenAddress, routes: readonly HttpRoute[], options: StartHttpServerOptions = {}): Promise<HttpServer> {
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS })
  watchIdleConnections(server)
  const app = polka({
    server,
    onNoMatch: (_request, response) => sendError(response, new AppError('not-found', 'No such path.')),
    onError: (error, _request, response) => sendError(response, error)
  })
  for (const route of routes) addRoute(app, route)
  server.on('clientError', (error, socket) => refuseMalformedRequest(error as NodeJS.ErrnoException, socket))
  options.onCreate?.(server)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    app.listen(address.port, address.host, options.backlog, () => resolve())
  })
  const { port } = server.address() as AddressInfo
  return { address: { host: address.host, port }, server }
}

function addRoute (app: Polka, route: HttpRoute): void {
  app[route.method](route.path, (request, response) => {
    runHandler(route.handler, request as unknown as polka.Request, response).catch(error => sendError(response, error))
  })
}

async function runHandler (handler: HttpHandler, request: polka.Request, response: ServerResponse): Promise<void> {
  await handler(request, response)
}

function refuseMalformedRequest (error: NodeJS.ErrnoException, socket: import('node:stream').Duplex): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const kind = KIND_BY_CODE[error.code ?? ''] ?? 'bad-request'
  const { status, outcome } = errorTable[kind]
  const body = JSON.stringify({ error: { kind, message: 'The request is malformed, too large or late.', outcome } })
  const head = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`, 'content-type: application/json', `papayalead-outcome: ${outcome}`, `content-length: ${body.length}`, 'connection: close']
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}
