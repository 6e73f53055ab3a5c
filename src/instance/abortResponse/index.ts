import type { ServerResponse } from 'node:http'

/**
 * @name abortResponse
 * @category Instance
 * @summary Ends a response that has begun and can't be completed, so that its caller notices.
 *
 * @description
 * Closing the connection shows that a chunked response is incomplete, but completes a response that ends with its
 * connection: that one is reset.
 *
 * @param response - The response to the caller.
 *
 * @example
 * if (response.headersSent) abortResponse(response)
 */
export function abortResponse (response: ServerResponse): void {
  if (!response.chunkedEncoding) response.socket?.resetAndDestroy()
  response.destroy()
}
