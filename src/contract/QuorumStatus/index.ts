import { z } from 'zod'

/**
 * @name QuorumStatus
 * @category Contract
 * @summary The settings log group as one control replica sees it.
 *
 * @description
 * `leader`: instance of the leader, absent while none is known. `replicas`: the voters and learners; `lag`, the
 * entries that one has not synced yet, is known on the leader only. `isSettled` is false while a membership change is not
 * known to a majority; until then the loss of another disk may stop the group.
 *
 * @example
 * QuorumStatus.parse({ role: 'leader', leader: 'c1', term: 4, commitOffset: 17, isSettled: true, replicas: [{ instance: 'c1', isVoter: true, lag: 0 }] })
 */
export const QuorumStatus = z.object({
  role: z.enum(['leader', 'follower', 'preCandidate', 'candidate', 'learner']),
  leader: z.string().optional(),
  term: z.number(),
  commitOffset: z.number(),
  isSettled: z.boolean(),
  replicas: z.array(z.object({ instance: z.string(), isVoter: z.boolean(), lag: z.number().optional() }))
})
export type QuorumStatus = z.infer<typeof QuorumStatus>
