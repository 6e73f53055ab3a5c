/**
 * @name CallResult
 * @category Load
 * @summary What the caller saw of one request.
 *
 * @description
 * `outcome`: the one that the answer states (`complete`, `not-run`, `unknown`), or what the caller found out by itself:
 * `lost` (no head of an answer), `truncated` (the answer ended early), `timeout`, `wrong` (not the answer to this
 * request). An answer without the header counts as `complete` if its status is below 500, so that a direct call to a
 * target can be measured. `latencyMs`: from the planned start to the end of the answer. `serviceMs`: the same from the
 * actual start. `firstByteMs`: from the planned start to the first byte of the body.
 *
 * @example
 * const result: CallResult = { outcome: 'lost', latencyMs: 3, serviceMs: 3, tokens: 0 }
 */
export interface CallResult {
  outcome: 'complete' | 'not-run' | 'unknown' | 'lost' | 'truncated' | 'timeout' | 'wrong'
  status?: number
  errorKind?: string
  latencyMs: number
  serviceMs: number
  firstByteMs?: number
  tokens: number
}
