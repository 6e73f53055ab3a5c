import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { AppError } from '../../contract/AppError'
import { convertToAppError } from '../../contract/convertToAppError'
import type { OperatorRequest } from '../../contract/OperatorRequest'
import type { ComponentLogger } from '../../telemetry/ComponentLogger'
import type { OperatorApi } from '../OperatorApi'
import { parseJsonBody } from '../parseJsonBody'
import { readBody } from '../readBody'

const MAX_BODY_BYTES = 4 * 1024 * 1024
const BEARER = /^Bearer (\S+)$/i

interface OperatorHttpRoute {
  method: 'get' | 'post'
  path: string
  handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>
}

/**
 * @name createOperatorRoutes
 * @category Instance
 * @summary HTTP routes of the operator API.
 *
 * @param api - Handles the requests.
 * @param logger - Logs each refused request and each completed POST request.
 * @returns Routes for `startHttpServer`.
 *
 * @example
 * await startHttpServer(settings.http, createOperatorRoutes(api, logger))
 */
export function createOperatorRoutes (api: OperatorApi, logger: ComponentLogger): OperatorHttpRoute[] {
  const handleOperatorRequest = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const requestId = randomUUID()
    response.setHeader('x-request-id', requestId)
    const request = await readRequest(message)
    try {
      const reply = await api.handle(request)
      if (request.method === 'POST') logger.info('Operator request completed.', { requestId, path: request.path, status: reply.status })
      response.writeHead(reply.status, { 'content-type': 'application/json', 'cache-control': 'no-store' })
      response.end(JSON.stringify(reply.body))
    } catch (thrown) {
      const error = convertToAppError(thrown)
      logger.info('Operator request refused.', { requestId, path: request.path, kind: error.kind, reason: error.message })
      throw error
    }
  }
  return [{ method: 'get', path: '/v1/*', handler: handleOperatorRequest }, { method: 'post', path: '/v1/*', handler: handleOperatorRequest }]
}

async function readRequest (message: IncomingMessage): Promise<OperatorRequest> {
  const url = new URL(message.url ?? '/', 'http://localhost')
  const token = BEARER.exec(message.headers.authorization ?? '')?.[1]
  const base = { path: url.pathname, query: Object.fromEntries(url.searchParams), token }
  if (message.method !== 'POST') return { ...base, method: 'GET' }
  if (token === undefined) throw new AppError('unauthenticated', 'The Authorization header with an operator token is missing.')
  return { ...base, method: 'POST', body: parseJsonBody(await readBody(message, { maxBytes: MAX_BODY_BYTES })) }
}
