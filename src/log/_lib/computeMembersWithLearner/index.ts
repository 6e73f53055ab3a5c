import type { LogMembers } from '../../../contract/LogMembers'
import { resolveInstance } from '../resolveInstance'

/** Adds a learner. It replaces an earlier learner of the same instance, whose disk was lost. */
export function computeMembersWithLearner (members: LogMembers, id: string): LogMembers {
  const others = members.learners.filter(learner => resolveInstance(learner) !== resolveInstance(id))
  return { ...members, learners: [...others, id] }
}
