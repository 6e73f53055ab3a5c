/** Prompt tokens that a large engine reads in a millisecond while it also generates. */
const TOKENS_PER_MS = 80
/** Attention grows with the product of new tokens and tokens before them. */
const MS_PER_MILLION_PAIRS = 0.45

/**
 * @name computeReadMs
 * @category Routing
 * @summary Estimates how long an engine needs to read the part of a prompt that it does not keep.
 *
 * @description
 * The estimate ranks targets and bounds what is sent to one of them at a time. Targets that are slower than it are
 * known by the factor that TargetSpeeds learns.
 *
 * @param newTokens - Tokens to read.
 * @param keptTokens - Tokens before them that the engine keeps.
 * @returns Milliseconds.
 *
 * @example
 * computeReadMs(8_000, 0) // about 114
 */
export function computeReadMs (newTokens: number, keptTokens: number): number {
  const pairs = newTokens * (keptTokens + newTokens / 2)
  return newTokens / TOKENS_PER_MS + pairs / 1e6 * MS_PER_MILLION_PAIRS
}
