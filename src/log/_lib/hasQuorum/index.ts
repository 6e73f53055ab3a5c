/** Whether a majority of every given set of voters meets a condition. */
export function hasQuorum (voterSets: ReadonlyArray<readonly string[]>, isMet: (id: string) => boolean): boolean {
  return voterSets.length > 0 && voterSets.every(voters => voters.filter(isMet).length > voters.length / 2)
}
