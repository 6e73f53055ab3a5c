import type { PromptPart } from '../../../../contract/PromptPart'

/** A crash of a target. */
export interface Crash {
  service: string
  target: string
  /** Prompts of the requests that were about to be answered. */
  prompts: readonly (readonly PromptPart[])[]
  /** Time of placement of each of these requests. */
  startedMs?: readonly number[]
  /** Time at which the target crashed; that of the report by default. */
  crashedMs?: number
}
