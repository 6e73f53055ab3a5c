import type { LogMembers } from '../../../contract/LogMembers'

interface MemberState {
  /** The replica has not replied for so long that it counts as lost. */
  isLost: (id: string) => boolean
  /** The replica replies and holds every committed entry on its disk. */
  isCurrent: (id: string) => boolean
  maxVoters: number
}

/**
 * Starts the replacement of lost voters by learners, or the growth of a small set of voters by two, so that their
 * number stays odd. Undefined if there is nothing to change or no learner for it.
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
