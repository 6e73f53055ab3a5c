import type { ServerResponse } from 'node:http'
import { convertToAppError } from '../../contract/convertToAppError'

/**
 * @name sendError
 * @category Instance
 * @summary Answers an HTTP request with an error of a closed kind.
 *
 * @description
 * Status, `papayalead-outcome`, `Retry-After` and body come from the error. If the head of the answer was sent already,
 * the connection is destroyed instead, so that the caller sees a truncated answer and not a complete one.
 *
 * @param response - The answer to write.
 * @param thrown - What was thrown.
 *
 * @example
 * sendError(response, new AppError('not-found', 'No such path.'))
 */
export function sendError (response: ServerResponse, thrown: unknown): void {
  const error = convertToAppError(thrown)
  if (response.headersSent) {
    response.destroy()
    return
  }
  const message = error.kind === 'internal' ? 'Internal error.' : error.message
  const body = JSON.stringify({ error: { kind: error.kind, message, outcome: error.outcome, details: error.details } })
  response.statusCode = error.status
  response.setHeader('content-type', 'application/json')
  response.setHeader('papayalead-outcome', error.outcome)
  if (error.retryAfterS !== undefined) response.setHeader('retry-after', String(Math.ceil(error.retryAfterS)))
  response.end(body)
}
