/** What is known about a suspected part. Times are milliseconds of a monotonic clock. */
export interface Suspicion {
  service: string
  part: string
  crashes: number
  /** Number of those crashes that a probe caused. */
  probeCrashes: number
  /** Id of the last event of crashes that the part was suspected of, and the number of these crashes. */
  eventId: number
  eventCrashes: number
  targets: string[]
  lastCrashMs: number
  /** End of the time for which every request with the part is refused. */
  blockedUntilMs: number
  /** Whether the part was answered at some time before the first crash. */
  wasAnswered: boolean
}
