/** A simulated day; rates are per second, times in milliseconds. */
export interface CrashDay {
  random: () => number
  targets: number
  firstParts: number
  secondParts: number
  /** Position of the part that crashes targets; undefined if there is none. */
  badPosition?: 0 | 1
  /** Whether the part was answered before it began to crash targets. */
  wasSound?: boolean
  /** Crashes of single targets without a cause in the prompts. */
  randomCrashes?: number
  /** Times at which a third of the targets is lost at once. */
  zoneLossesMs?: readonly number[]
  /** Share of the answers that are truncated. */
  truncatedShare?: number
}
