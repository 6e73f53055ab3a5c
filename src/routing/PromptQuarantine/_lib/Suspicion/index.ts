/** What is known about a suspected part. Times are milliseconds of a monotonic clock. */
export interface Suspicion {
  service: string
  part: string
  crashes: number
  /** Ids of the crash events that were counted here; without those that another instance counted. */
  events: number[]
  targets: string[]
  lastCrashMs: number
  /** End of the block that the crashes cause. */
  blockedUntilMs: number
  /** End of the block that another instance reported. */
  mergedUntilMs: number
  /** Whether the part was answered at some time before the first crash. */
  wasAnswered: boolean
}
