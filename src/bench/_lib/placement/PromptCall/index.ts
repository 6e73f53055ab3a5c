import type { PromptPart } from '../../../../contract/PromptPart'

/** One request of the simulated load. */
export interface PromptCall {
  id: string
  atMs: number
  kind: string
  account: string
  parts: PromptPart[]
  promptTokens: number
  outputTokens: number
  /** Mean output of its kind, which is what a caller can estimate. */
  outputHint: number
  objectiveMs: number
  /** The caller leaves when no event has come for this time. */
  patienceMs: number
  deadlineMs: number
  worth: number
  /** The caller came back after a refusal. */
  isRepeat: boolean
}
