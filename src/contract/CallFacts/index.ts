import { z } from 'zod'
import { PromptPart } from '../PromptPart'

/**
 * @name CallFacts
 * @category Contract
 * @summary What the headers of a caller's request say.
 *
 * @description
 * `id`: of this attempt of the caller. `deadlineMs`: how long the caller waits. `outputTokens`: the most that the model
 * may generate. `outputHint`: the caller's estimate of them. `lastEventId`: the caller goes on with a stream that broke off.
 * `traceparent`: the W3C trace context of the caller. `unreadable`: names of headers that can't be read and count as absent.
 *
 * @example
 * CallFacts.parse({ id: '9c41', parts: [], promptTokens: 0, outputTokens: 0, unreadable: [] })
 */
export const CallFacts = z.object({
  id: z.string(),
  key: z.string().optional(),
  deadlineMs: z.number().nonnegative().optional(),
  parts: z.array(PromptPart),
  promptTokens: z.number().nonnegative(),
  outputTokens: z.number().nonnegative(),
  outputHint: z.number().nonnegative().optional(),
  lastEventId: z.string().optional(),
  traceparent: z.string().optional(),
  unreadable: z.array(z.string())
})
export type CallFacts = z.infer<typeof CallFacts>
