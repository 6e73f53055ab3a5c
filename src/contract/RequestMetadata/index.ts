import { z } from 'zod'
import { PromptPart } from '../PromptPart'

/**
 * @name RequestMetadata
 * @category Contract
 * @summary Values that a router reads from the headers of a caller's request.
 *
 * @example
 * RequestMetadata.parse({ id: '9c41', parts: [], promptTokens: 0, outputTokens: 0, unreadable: [] })
 */
export const RequestMetadata = z.object({
  /** Id of this attempt, assigned by the caller. */
  id: z.string(),
  /** API key of the client account. */
  apiKey: z.string().optional(),
  /** Milliseconds that the caller waits for the response. */
  deadlineMs: z.number().nonnegative().optional(),
  /** Parts of the prompt, in order. */
  parts: z.array(PromptPart),
  /** Tokens of the prompt. */
  promptTokens: z.number().nonnegative(),
  /** Maximum number of tokens that the model may generate. */
  outputTokens: z.number().nonnegative(),
  /** The caller's estimate of the tokens that the model generates. */
  outputHint: z.number().nonnegative().optional(),
  /** Id of the event after which the stream resumes; present when the caller resumes a stream that broke off. */
  lastEventId: z.string().optional(),
  /** W3C trace context of the caller. */
  traceparent: z.string().optional(),
  /** Names of the headers that are malformed and therefore treated as absent. */
  unreadable: z.array(z.string())
})
export type RequestMetadata = z.infer<typeof RequestMetadata>
