import { AppError } from '../../contract/AppError'
import type { TargetResponse } from '../TargetResponse'

const STATUSES_WITHOUT_BODY = new Set([204, 304])

/**
 * @name checkFraming
 * @category Target
 * @summary Checks that a complete response body can be told from a truncated one.
 *
 * @description
 * A body needs a content length or chunked transfer encoding. A body that ends with the connection is refused, because
 * it would look complete if the target crashed in the middle of it. Event streams of completions are exempt: their
 * final event marks the end.
 *
 * @param method - Method of the request.
 * @param response - Status and headers of the response.
 * @param options - `hasFinalEvent`: whether the reader of an event stream checks for its final event.
 * @throws AppError `answer-truncated` with outcome `unknown`.
 *
 * @example
 * checkFraming('GET', { status: 200, headers: { 'content-length': '2' }, body })
 */
export function checkFraming (method: string, response: TargetResponse, options: { hasFinalEvent?: boolean } = {}): void {
  const { status, headers } = response
  const hasNoBody = method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)
  const isChunked = /(^|,)\s*chunked\s*$/i.test(String(headers['transfer-encoding'] ?? ''))
  const isEventStream = options.hasFinalEvent && String(headers['content-type'] ?? '').startsWith('text/event-stream')
  if (hasNoBody || isChunked || isEventStream || headers['content-length'] !== undefined) return
  throw new AppError('answer-truncated', 'The response has neither a content length nor chunked transfer encoding.')
}
