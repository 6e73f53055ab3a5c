import type { LogMembers } from '../../../contract/LogMembers'

/** Whether a majority of the voters of every given membership meets a condition. */
export function hasQuorum (memberships: readonly LogMembers[], isMet: (id: string) => boolean): boolean {
  return memberships.length > 0 && memberships.every(({ voters }) => voters.filter(isMet).length > voters.length / 2)
}
