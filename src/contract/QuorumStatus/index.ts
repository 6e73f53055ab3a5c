import { z } from 'zod'

/**
 * @name QuorumStatus
 * @category Contract
 * @summary The settings log group as one control replica sees it.
 *
 * @description
 * `leader`: instance of the leader, absent while none is known. `replicas`: the voters and learners; `offset` is known
 * on the leader only.
 *
 * @example
 * QuorumStatus.parse({ role: 'leader', leader: 'c1', term: 4, commitOffset: 17, replicas: [{ instance: 'c1', isVoter: true, offset: 17 }] })
 */
export const QuorumStatus = z.object({
  role: z.enum(['leader', 'follower', 'candidate', 'learner']),
  leader: z.string().optional(),
  term: z.number(),
  commitOffset: z.number(),
  replicas: z.array(z.object({ instance: z.string(), isVoter: z.boolean(), offset: z.number().optional() }))
})
export type QuorumStatus = z.infer<typeof QuorumStatus>
