import type { Candidate } from '../Candidate'

/** Cost added per rank, so that of otherwise equal targets the first in the rendezvous order is chosen. */
const RANK_PENALTY_MS = 4

/**
 * The candidate with the least cost: the time until the end of its prefill, plus a penalty for its rank (at most `maxRank`). Prefill time
 * beyond that of the fastest candidate counts twice, because it repeats work whose result another engine has cached.
 */
export function chooseBest (candidates: readonly Candidate[], { maxRank }: { maxRank: number }): Candidate | undefined {
  const leastReadMs = Math.min(...candidates.map(({ readMs }) => readMs))
  let best: Candidate | undefined
  let bestMs = Infinity
  for (const candidate of candidates) {
    const costMs = candidate.waitMs + candidate.readMs + (candidate.readMs - leastReadMs) + Math.min(candidate.rank, maxRank) * RANK_PENALTY_MS
    if (costMs >= bestMs) continue
    best = candidate
    bestMs = costMs
  }
  return best
}
