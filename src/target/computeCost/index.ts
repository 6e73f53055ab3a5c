import { z } from 'zod'

/** Cost of a prompt token; a generated token costs 1. */
const PROMPT_TOKEN_COST = 0.25
const Usage = z.object({ usage: z.object({ prompt_tokens: z.number().nonnegative().default(0), completion_tokens: z.number().nonnegative() }) })

/**
 * @name computeCost
 * @category Target
 * @summary Computes the cost of a completion from the usage that its engine reports.
 *
 * @param text - JSON of a response body or of an event.
 * @returns Generated tokens plus a quarter of the prompt tokens; undefined if the text reports no usage.
 *
 * @example
 * computeCost('{"usage":{"prompt_tokens":8,"completion_tokens":3}}') // 5
 */
export function computeCost (text: string): number | undefined {
  try {
    const { usage } = Usage.parse(JSON.parse(text))
    return usage.prompt_tokens * PROMPT_TOKEN_COST + usage.completion_tokens
  } catch {
    return undefined
  }
}
