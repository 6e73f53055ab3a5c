/** What one token more of context adds to the time of each token generated, in milliseconds per thousand tokens. */
const CONTEXT_MS_PER_THOUSAND = 0.026
/** Part of a generation step that falls to one of the requests that share it, in milliseconds. */
const STEP_SHARE_MS = 0.08

/**
 * @name computeCallCost
 * @category Routing
 * @summary Estimates the time of an engine that a call takes, for the fair order of client accounts.
 *
 * @param call - Time to read the prompt in milliseconds, tokens of the whole prompt and of the output.
 * @returns Milliseconds of an engine.
 *
 * @example
 * computeCallCost({ readMs: 60, promptTokens: 17_000, outputTokens: 120 }) // about 123
 */
export function computeCallCost ({ readMs, promptTokens, outputTokens }: { readMs: number, promptTokens: number, outputTokens: number }): number {
  return readMs + outputTokens * (promptTokens / 1e3 * CONTEXT_MS_PER_THOUSAND + STEP_SHARE_MS)
}
