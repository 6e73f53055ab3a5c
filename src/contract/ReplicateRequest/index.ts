import { z } from 'zod'
import { LogGroup } from '../LogGroup'
import { ReplicaMessage } from '../ReplicaMessage'

/**
 * @name ReplicateRequest
 * @category Contract
 * @summary One-way message `replicate`: a message between the replicas of a log group.
 *
 * @description
 * A snapshot that is too large for one frame is sent in parts; each holds a part of the state.
 *
 * @example
 * ReplicateRequest.parse({ group: 'settings', message: { type: 'probe', from: 'c1:a', to: 'c2', term: 0 } })
 */
export const ReplicateRequest = z.object({
  group: LogGroup,
  message: ReplicaMessage,
  part: z.object({ index: z.number().int().nonnegative(), count: z.number().int().positive() }).optional()
})
export type ReplicateRequest = z.infer<typeof ReplicateRequest>
