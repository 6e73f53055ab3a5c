import type { LogMembers } from '../../../contract/LogMembers'
import { resolveInstance } from '../resolveInstance'

/** Starts to replace an instance's voter by its learner. Undefined if there is no such voter or learner. */
export function computeMembersWithPromotion (members: LogMembers, id: string): LogMembers | undefined {
  const isReplaced = (voter: string): boolean => resolveInstance(voter) === resolveInstance(id)
  if (!members.learners.includes(id) || !members.voters.some(isReplaced)) return undefined
  const voters = members.voters.map(voter => isReplaced(voter) ? id : voter)
  return { ...members, voters, previousVoters: members.voters, learners: members.learners.filter(learner => learner !== id) }
}
