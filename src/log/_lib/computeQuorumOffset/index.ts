import type { LogMembers } from '../../../contract/LogMembers'

/** The highest offset that a majority of the voters of every given membership has reached. */
export function computeQuorumOffset (memberships: readonly LogMembers[], getOffset: (id: string) => number): number {
  const offsets = memberships.map(({ voters }) => {
    const sorted = voters.map(getOffset).sort((a, b) => b - a)
    return sorted[Math.floor(sorted.length / 2)] ?? 0
  })
  return offsets.length > 0 ? Math.min(...offsets) : 0
}
