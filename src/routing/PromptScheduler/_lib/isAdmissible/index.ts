import type { Candidate } from '../Candidate'

/** Whether the prefill is predicted to end in time, or the wait is within the limit for late prompts (0 for most). */
export function isAdmissible ({ waitMs, readMs }: Candidate, limits: { remainingMs: number, lateWaitMs: number }): boolean {
  return waitMs + readMs <= limits.remainingMs || waitMs <= limits.lateWaitMs
}
