import { AppError } from '../../contract/AppError'
import type { TargetResponse } from '../TargetResponse'

const STATUSES_WITHOUT_BODY = new Set([204, 304])

/**
 * @name checkFraming
 * @category Target
 * @summary Checks that the end of an answer's body can be told from a lost connection.
 *
 * @description
 * A body needs a content length or the chunked encoding. A body that ends with the connection is refused, because a
 * target that dies in the middle of it would look like a complete answer. Event streams of completions are exempt:
 * their last event marks the end.
 *
 * @param method - Method of the request.
 * @param response - Head of the answer.
 * @param options - `hasFinalEvent`: whether an event stream is checked for its last event.
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
  throw new AppError('answer-truncated', 'The target gave neither a content length nor the chunked encoding.')
}
