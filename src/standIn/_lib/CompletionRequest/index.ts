import { z } from 'zod'

const DEFAULT_MAX_TOKENS = 16

/** Body of `POST /v1/completions` and `POST /v1/chat/completions`, with only the fields that the stand-in uses. */
export const CompletionRequest = z.object({
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().default(DEFAULT_MAX_TOKENS),
  prompt: z.string().default(''),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).default([]),
  /** Number of tokens that the caller has already received; generation resumes after them. */
  resume_from: z.number().int().nonnegative().default(0)
})
export type CompletionRequest = z.infer<typeof CompletionRequest>
