/**
 * @name AttemptResult
 * @category Routing
 * @summary How one attempt to run a request on a target ended.
 *
 * @example
 * const result: AttemptResult = { type: 'unsent', target: 'i-1' }
 */
export type AttemptResult =
  /** A complete response was forwarded to the caller. */
  | { type: 'answered' }
  /** The caller closed its connection. */
  | { type: 'left' }
  /** No target is available for the request. */
  | { type: 'no-target' }
  /** No target has capacity in time. */
  | { type: 'refused', retryAfterS: number }
  /** Requests with this part of the prompt are refused, because targets crash when they answer them. */
  | { type: 'blocked', part: string, crashes: number, retryAfterS: number }
  /** No byte of the request reached the target. */
  | { type: 'unsent', target: string }
  /** The target reported that it did not run the request. */
  | { type: 'not-run', target: string, retryAfterS?: number }
  /** A complete response that reports a failure of the target; it has not been forwarded yet. */
  | { type: 'failure', target: string }
  /**
   * The request may have run, but its response is missing or incomplete. If `isStarted`, the caller has received part of
   * it, up to the event `lastEventId`, or up to an event without an id if that is undefined.
   */
  | { type: 'lost', target: string, isStarted: boolean, lastEventId?: string }
  /**
   * The deadline of the request has passed. `isSent`: a byte of the request may have been sent. `isStarted`: the caller
   * has received part of the response.
   */
  | { type: 'expired', isSent: boolean, isStarted: boolean }
