import { z } from 'zod'
import { PromptPart } from '../PromptPart'

/**
 * @name PlacementRequest
 * @category Contract
 * @summary Request `requestPlacement` of a router to the scheduler: which engine should run a prompt.
 *
 * @description
 * `id` is unique among the calls of the router's process; `callId` is the caller's and serves the log only. `outputTokens`: an estimate. `objectiveMs`: the time from now
 * within which the first event should come. `excluded`: targets that must not run it.
 *
 * @example
 * PlacementRequest.parse({ id: '7', account: 'a', service: 's', zone: 'perth-a', parts: [], promptTokens: 900, outputTokens: 80, objectiveMs: 600, excluded: [] })
 */
export const PlacementRequest = z.object({
  id: z.string(),
  callId: z.string().optional(),
  account: z.string(),
  service: z.string(),
  zone: z.string(),
  parts: z.array(PromptPart),
  promptTokens: z.number().nonnegative(),
  outputTokens: z.number().nonnegative(),
  objectiveMs: z.number().positive(),
  excluded: z.array(z.string())
})
export type PlacementRequest = z.infer<typeof PlacementRequest>
