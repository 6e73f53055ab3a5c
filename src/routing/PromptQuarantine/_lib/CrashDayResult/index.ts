/** What a simulated day showed. */
export interface CrashDayResult {
  /** Crashes that the part caused. */
  crashes: number
  /** Requests with the part that were sent later than 3 s after the fifth crash. */
  sentAfterFifth: number
  /** Share of the sound requests whose first attempt began an answer, before the part began to crash targets. */
  begunBefore: number
  /** The same share from 6 s after the last crash of the first ten seconds on. */
  begunAfter: number
  /** The longest time between the first and the last refusal because of a sound part while no request with it was sent. */
  longestBlockMs: number
  /** Share of the sound requests that were refused because of a part. */
  refusedShare: number
}
