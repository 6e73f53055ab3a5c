import type { ServerResponse } from 'node:http'
import type { AppError } from '../../contract/AppError'

/**
 * @name refuseCall
 * @category Gateway
 * @summary Answers a request with an error of a closed kind.
 *
 * @description
 * `Retry-After` is in seconds and may have a fraction. If a part of an answer was sent already, the connection is
 * destroyed instead, so that the caller sees an incomplete answer.
 *
 * @param response - The answer to write.
 * @param error - Why there is no other answer.
 *
 * @example
 * refuseCall(response, new AppError('no-target', 'No target is available.', { retryAfterS: 0.5 }))
 */
export function refuseCall (response: ServerResponse, error: AppError): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const body = Buffer.from(JSON.stringify({ error: { kind: error.kind, message: error.message, outcome: error.outcome } }))
  const retry = error.retryAfterS === undefined ? {} : { 'retry-after': error.retryAfterS.toFixed(2) }
  response.writeHead(error.status, { 'content-type': 'application/json', 'content-length': body.length, ...retry })
  response.end(body)
}
