import type { LogStatus } from '../../LogStatus'
import type { ReplicaRole } from '../../ReplicaRole'
import type { LeaderState } from '../LeaderState'
import type { ReplicaData } from '../ReplicaData'
import { resolveInstance } from '../resolveInstance'

interface RoleState {
  role: ReplicaRole
  leader: string | undefined
  leaderState: LeaderState | undefined
}

function createMemberStatus (id: string, kind: 'voter' | 'learner', lag: number | undefined): LogStatus['members'][number] {
  const instance = resolveInstance(id)
  return { instance, incarnation: id.slice(instance.length + 1), kind, lag }
}

/** Creates the status of a replica for operators. */
export function createLogStatus (data: ReplicaData, { role, leader, leaderState }: RoleState): LogStatus {
  const { log, id, term, commitOffset } = data
  const { voters, learners } = log.members ?? { voters: [], learners: [] }
  const computeLag = (member: string): number | undefined => leaderState && Math.max(0, log.lastOffset - leaderState.getMatchOffset(member))
  const { instance, incarnation } = createMemberStatus(id, 'voter', undefined)
  return {
    instance,
    incarnation,
    role: role === 'follower' && !data.isVoter() ? 'learner' : role,
    term,
    leader: leader && resolveInstance(leader),
    commitOffset,
    lastOffset: log.lastOffset,
    isMember: [...voters, ...learners].includes(id),
    isSettled: data.isMembershipSettled,
    members: [
      ...voters.map(member => createMemberStatus(member, 'voter', computeLag(member))),
      ...learners.map(member => createMemberStatus(member, 'learner', computeLag(member)))
    ]
  }
}
