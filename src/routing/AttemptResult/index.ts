/**
 * @name AttemptResult
 * @category Routing
 * @summary How one attempt to run a request on a target ended.
 *
 * @description
 * `answered`: a complete answer was passed on. `failure`: a complete answer that reports a failure of the target, not
 * passed on yet. `not-run`: the target says that it did not run the request. `unsent`: no byte reached the target.
 * `lost`: the request may have run, and its answer is missing or incomplete; `isStarted` tells that the caller has a
 * part of it, up to `lastEventId`. `expired`: the time of the request is over. `left`: the caller closed its
 * connection. `no-target`: there is no target to send to. `refused`: no target has room in time.
 *
 * @example
 * const result: AttemptResult = { type: 'unsent', target: 'i-1' }
 */
export type AttemptResult =
  | { type: 'answered' }
  | { type: 'left' }
  | { type: 'no-target' }
  | { type: 'refused', retryAfterS: number }
  | { type: 'unsent', target: string }
  | { type: 'not-run', target: string, retryAfterS?: number }
  | { type: 'failure', target: string }
  | { type: 'lost', target: string, isStarted: boolean, lastEventId?: string }
  | { type: 'expired', isSent: boolean, isStarted: boolean }
