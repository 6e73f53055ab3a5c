import type { ServerResponse } from 'node:http'
import { convertToAppError } from '../../contract/convertToAppError'
import { abortResponse } from '../abortResponse'

/**
 * @name sendError
 * @category Instance
 * @summary Sends an error response.
 *
 * @description
 * Status, `papayalead-outcome`, `Retry-After` and body come from the error. If the response head was already sent, the
 * response is aborted instead, so that the caller sees a truncated response and not a complete one.
 *
 * @param response - The response to write.
 * @param thrown - The error; a value that is not an AppError is converted to one.
 *
 * @example
 * sendError(response, new AppError('not-found', 'No such path.'))
 */
export function sendError (response: ServerResponse, thrown: unknown): void {
  const error = convertToAppError(thrown)
  if (response.headersSent) {
    abortResponse(response)
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
