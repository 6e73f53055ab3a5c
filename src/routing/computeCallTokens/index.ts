/** Weight of a generated token in the users' figures of throughput. */
const GENERATED_TOKEN_WEIGHT = 2

/**
 * @name computeCallTokens
 * @category Routing
 * @summary Computes the size of a call in the users' tokens: a prompt token counts once, cached or not, a generated one twice.
 *
 * @param call - Tokens of the whole prompt and of the output.
 * @param options - `maxTokens`: upper bound, the memory of an engine, so that one call with a false count does not outweigh
 * those of all accounts.
 * @returns Tokens.
 *
 * @example
 * computeCallTokens({ promptTokens: 17_000, outputTokens: 120 }) // 17_240
 */
export function computeCallTokens ({ promptTokens, outputTokens }: { promptTokens: number, outputTokens: number }, { maxTokens = Infinity }: { maxTokens?: number } = {}): number {
  return Math.min(maxTokens, promptTokens + GENERATED_TOKEN_WEIGHT * outputTokens)
}
