import type { ServerResponse } from 'node:http'
import type { AppError } from '../../contract/AppError'
import { abortResponse } from '../../instance/abortResponse'

/**
 * @name sendCallError
 * @category Gateway
 * @summary Sends the error response to a request.
 *
 * @description
 * `Retry-After` is in seconds and may have a fraction. If part of a response has already been sent, the response is
 * aborted instead, which shows the caller that it is incomplete.
 *
 * @param response - The response to the caller.
 * @param error - The error to report.
 *
 * @example
 * sendCallError(response, new AppError('no-target', 'No target is available.', { retryAfterS: 0.5 }))
 */
export function sendCallError (response: ServerResponse, error: AppError): void {
  if (response.headersSent) {
    abortResponse(response)
    return
  }
  const body = Buffer.from(JSON.stringify({ error: { kind: error.kind, message: error.message, outcome: error.outcome } }))
  const retry = error.retryAfterS === undefined ? {} : { 'retry-after': error.retryAfterS.toFixed(2) }
  response.writeHead(error.status, { 'content-type': 'application/json', 'content-length': body.length, ...retry })
  response.end(body)
}
