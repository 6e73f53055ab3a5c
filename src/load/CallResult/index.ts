/**
 * @name CallResult
 * @category Load
 * @summary Result of one request as observed by the caller.
 *
 * @example
 * const result: CallResult = { outcome: 'lost', latencyMs: 3, serviceMs: 3, tokens: 0 }
 */
export interface CallResult {
  /**
   * The outcome that the response states (`complete`, `not-run`, `unknown`), or one that the caller determined: `lost`
   * (no response headers received), `truncated` (the response ended early), `timeout`, `wrong` (the response does not
   * contain the expected booking id or tokens). A response without the outcome header counts as `complete` if its
   * status is below 500, and as `unknown` otherwise, so that direct calls to a target can be measured.
   */
  outcome: 'complete' | 'not-run' | 'unknown' | 'lost' | 'truncated' | 'timeout' | 'wrong'
  status?: number
  errorKind?: string
  /** Time from the planned start to the end of the response. */
  latencyMs: number
  /** Time from the actual start to the end of the response. */
  serviceMs: number
  /** Time from the planned start to the first byte of the body. */
  firstByteMs?: number
  tokens: number
}
