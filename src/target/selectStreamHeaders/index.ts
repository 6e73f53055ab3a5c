import type { ServerResponse } from 'node:http'
import { selectHeaders } from '../selectHeaders'

type Headers = Record<string, string | string[] | undefined>

/**
 * @name selectStreamHeaders
 * @category Target
 * @summary Selects the headers of a response that is relayed while it arrives.
 *
 * @description
 * Chunks show the end of the response, and the outcome follows as a trailer. A caller of HTTP/1.0 can have neither: it gets
 * the length that the target has announced; without one, the response ends with its connection.
 *
 * @param response - The response to the caller.
 * @param headers - Headers of the target's response by lower-case name.
 * @returns The headers to send.
 *
 * @example
 * response.writeHead(200, selectStreamHeaders(response, { 'content-length': '90000' }))
 */
export function selectStreamHeaders (response: ServerResponse, headers: Headers): Record<string, string | string[]> {
  const selected = selectHeaders(headers)
  if (response.useChunkedEncodingByDefault) selected.trailer = 'papayalead-outcome'
  else if (headers['content-length'] !== undefined) selected['content-length'] = headers['content-length']
  return selected
}
