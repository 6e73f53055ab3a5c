import { z } from 'zod'

/**
 * @name PromptPart
 * @category Contract
 * @summary A part of a prompt. Requests whose prompts begin with the same parts share a target's cache for these parts.
 *
 * @example
 * PromptPart.parse({ id: '5c1e07a2', tokens: 800 })
 */
export const PromptPart = z.object({ id: z.string(), tokens: z.number().nonnegative() })
export type PromptPart = z.infer<typeof PromptPart>
