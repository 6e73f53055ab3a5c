import type { ServerResponse } from 'node:http'
import { selectContentLength } from '../selectContentLength'
import { selectHeaders } from '../selectHeaders'

interface BufferedResponse {
  status: number
  headers: Record<string, string | string[] | undefined>
  body: Uint8Array
  method: string
}

/**
 * @name sendBufferedResponse
 * @category Target
 * @summary Sends a response whose body was buffered whole.
 *
 * @param response - The response to the caller.
 * @param targetResponse - Status, headers and body of the target; method of the request.
 *
 * @example
 * sendBufferedResponse(response, { status: 201, headers: {}, body, method: 'POST' })
 */
export function sendBufferedResponse (response: ServerResponse, targetResponse: BufferedResponse): void {
  const { status, headers, body, method } = targetResponse
  const length = selectContentLength({ status, headers, body, method })
  if (length !== undefined) response.setHeader('content-length', length)
  response.writeHead(status, { ...selectHeaders(headers), 'papayalead-outcome': 'complete' })
  response.end(body)
}
