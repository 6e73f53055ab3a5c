import type { LogMembers } from '../../../contract/LogMembers'

interface MemberState {
  /** Whether the replica has not replied for so long that it counts as lost. */
  isLost: (id: string) => boolean
  /** Whether the replica replies and holds every committed entry on its disk. */
  isCurrent: (id: string) => boolean
  maxVoters: number
}

/**
 * Starts the replacement of a lost voter by a current learner. If no voter is lost and the limit permits it, adds two
 * current learners as voters instead; two, so that the number of voters stays odd. Undefined if nothing needs to change
 * or there are not enough current learners.
 */
export function computeMembersWithReplacement (members: LogMembers, { isLost, isCurrent, maxVoters }: MemberState): LogMembers | undefined {
  const candidates = members.learners.filter(isCurrent)
  const [lost] = members.voters.filter(isLost)
  if (lost !== undefined && candidates.length > 0) return replaceVoters(members, members.voters.map(id => id === lost ? candidates[0] : id))
  const canGrow = lost === undefined && candidates.length >= 2 && members.voters.length + 2 <= maxVoters
  return canGrow ? replaceVoters(members, [...members.voters, ...candidates.slice(0, 2)]) : undefined
}

function replaceVoters (members: LogMembers, voters: string[]): LogMembers {
  return { ...members, voters, previousVoters: members.voters, learners: members.learners.filter(id => !voters.includes(id)) }
}
