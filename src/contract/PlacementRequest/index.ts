import { z } from 'zod'
import { PromptPart } from '../PromptPart'

/**
 * @name PlacementRequest
 * @category Contract
 * @summary Request `requestPlacement` of a router to the scheduler: selects the engine that runs a prompt.
 *
 * @example
 * PlacementRequest.parse({ id: '7', account: 'a', service: 's', zone: 'perth-a', parts: [], promptTokens: 900, outputTokens: 80, objectiveMs: 600, excluded: [] })
 */
export const PlacementRequest = z.object({
  /** Unique among the requests of the router's process. */
  id: z.string(),
  /** Request id of the caller; used only in the log. */
  callId: z.string().optional(),
  account: z.string(),
  service: z.string(),
  /** Zone of the router. */
  zone: z.string(),
  /** Parts of the prompt, in order. */
  parts: z.array(PromptPart),
  /** Tokens of the prompt. */
  promptTokens: z.number().nonnegative(),
  /** Estimate of the tokens that the model generates. */
  outputTokens: z.number().nonnegative(),
  /** Milliseconds from now within which the first event should be sent. */
  objectiveMs: z.number().positive(),
  /** Targets that must not run the request. */
  excluded: z.array(z.string())
})
export type PlacementRequest = z.infer<typeof PlacementRequest>
