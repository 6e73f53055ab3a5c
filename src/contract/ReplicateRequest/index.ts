import { z } from 'zod'
import { LogGroup } from '../LogGroup'
import { ReplicaMessage } from '../ReplicaMessage'

/**
 * @name ReplicateRequest
 * @category Contract
 * @summary One-way message `replicate`: carries a message between the replicas of a log group.
 *
 * @example
 * ReplicateRequest.parse({ group: 'settings', message: { type: 'probe', from: 'c1:a', to: 'c2', term: 0 } })
 */
export const ReplicateRequest = z.object({
  group: LogGroup,
  message: ReplicaMessage,
  /** Present when a snapshot is too large for one frame: each message then holds one part of the state. */
  part: z.object({ index: z.number().int().nonnegative(), count: z.number().int().positive() }).optional()
})
export type ReplicateRequest = z.infer<typeof ReplicateRequest>
