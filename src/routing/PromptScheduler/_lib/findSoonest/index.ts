import type { Candidate } from '../Candidate'

/** The candidate whose prefill is predicted to end first. */
export function findSoonest (candidates: readonly Candidate[]): Candidate {
  return candidates.reduce((least, next) => next.waitMs + next.readMs < least.waitMs + least.readMs ? next : least)
}
