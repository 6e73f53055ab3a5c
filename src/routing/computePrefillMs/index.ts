/** Prompt tokens that a large engine prefills in a millisecond while it also generates output. */
const PREFILL_TOKENS_PER_MS = 80
/** The cost of attention grows with the product of the new tokens and the tokens before them. */
const ATTENTION_MS_PER_MILLION_PAIRS = 0.45

/**
 * @name computePrefillMs
 * @category Routing
 * @summary Estimates how long an engine needs to prefill the part of a prompt that it has not cached.
 *
 * @description
 * The estimate is used to rank targets and to bound the outstanding prefill work of each one. TargetSlowdowns corrects
 * it for targets that are slower.
 *
 * @param uncachedTokens - Tokens to prefill.
 * @param cachedTokens - Tokens before them that the engine has cached.
 * @returns Milliseconds.
 *
 * @example
 * computePrefillMs(8_000, 0) // about 114
 */
export function computePrefillMs (uncachedTokens: number, cachedTokens: number): number {
  const pairs = uncachedTokens * (cachedTokens + uncachedTokens / 2)
  return uncachedTokens / PREFILL_TOKENS_PER_MS + pairs / 1e6 * ATTENTION_MS_PER_MILLION_PAIRS
}
