import { z } from 'zod'

/**
 * @name QuorumStatus
 * @category Contract
 * @summary State of the settings log group as one control replica knows it.
 *
 * @example
 * QuorumStatus.parse({ role: 'leader', leader: 'c1', term: 4, commitOffset: 17, isSettled: true, replicas: [{ instance: 'c1', isVoter: true, lag: 0 }] })
 */
export const QuorumStatus = z.object({
  /** Role of the replica that created this status. */
  role: z.enum(['leader', 'follower', 'preCandidate', 'candidate', 'learner']),
  /** Instance of the leader; absent while none is known. */
  leader: z.string().optional(),
  term: z.number(),
  commitOffset: z.number(),
  /**
   * False while a membership change is not complete, which means that it is not committed or that the previous voters
   * still count. Until it is complete, the loss of another disk may stop the group.
   */
  isSettled: z.boolean(),
  /** The voters and learners. */
  replicas: z.array(z.object({
    instance: z.string(),
    isVoter: z.boolean(),
    /** Number of entries that the replica has not synced yet; known on the leader only. */
    lag: z.number().optional()
  }))
})
export type QuorumStatus = z.infer<typeof QuorumStatus>
