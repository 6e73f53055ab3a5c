/** The highest offset that a majority of every given set of voters has reached. */
export function computeQuorumOffset (voterSets: ReadonlyArray<readonly string[]>, getOffset: (id: string) => number): number {
  const offsets = voterSets.map(voters => {
    const sorted = voters.map(getOffset).sort((a, b) => b - a)
    return sorted[Math.floor(sorted.length / 2)] ?? 0
  })
  return offsets.length > 0 ? Math.min(...offsets) : 0
}
