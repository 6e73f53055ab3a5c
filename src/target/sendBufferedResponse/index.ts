import type { ServerResponse } from 'node:http'
import { selectHeaders } from '../selectHeaders'

interface CompleteAnswer {
  status: number
  headers: Record<string, string | string[] | undefined>
  body: Uint8Array
  method: string
}

/**
 * @name sendBufferedResponse
 * @category Target
 * @summary Sends an answer that was received whole.
 *
 * @param response - The answer to the caller.
 * @param answer - Status, headers and body of the target; method of the request.
 *
 * @example
 * sendBufferedResponse(response, { status: 201, headers: {}, body, method: 'POST' })
 */
export function sendBufferedResponse (response: ServerResponse, answer: CompleteAnswer): void {
  const { status, headers, body, method } = answer
  const length = method === 'HEAD' ? headers['content-length'] : body.length
  if (status !== 204 && status !== 304 && length !== undefined) response.setHeader('content-length', length)
  response.writeHead(status, { ...selectHeaders(headers), 'papayalead-outcome': 'complete' })
  response.end(body)
}
