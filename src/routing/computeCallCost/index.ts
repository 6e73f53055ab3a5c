/** Time that context adds to each generated token, in milliseconds per thousand context tokens. */
const CONTEXT_MS_PER_THOUSAND = 0.026
/** Time of a decoding step that is attributed to each of the requests batched in it, in milliseconds. */
const DECODE_STEP_SHARE_MS = 0.08

/**
 * @name computeCallCost
 * @category Routing
 * @summary Estimates the engine time of a call, which is charged to its client account for fair scheduling.
 *
 * @param call - Prefill time in milliseconds, tokens of the whole prompt and of the output.
 * @returns Engine time in milliseconds.
 *
 * @example
 * computeCallCost({ readMs: 60, promptTokens: 17_000, outputTokens: 120 }) // about 123
 */
export function computeCallCost ({ readMs, promptTokens, outputTokens }: { readMs: number, promptTokens: number, outputTokens: number }): number {
  return readMs + outputTokens * (promptTokens / 1e3 * CONTEXT_MS_PER_THOUSAND + DECODE_STEP_SHARE_MS)
}
