import type { PromptPart } from '../../../../contract/PromptPart'

/** One request of the simulated load. */
export interface PromptCall {
  id: string
  /** Arrival time of the first attempt. */
  atMs: number
  kind: string
  account: string
  parts: PromptPart[]
  promptTokens: number
  outputTokens: number
  /** Mean output tokens of calls of this kind, because a caller can estimate no more than that. */
  outputHint: number
  /** Limit on the time to the first token. */
  objectiveMs: number
  /** The caller disconnects after this time without an event. */
  eventTimeoutMs: number
  deadlineMs: number
  /** Credit for a call that meets its objective. */
  maxCredit: number
  /** True for the retry after a refusal. */
  isRetry: boolean
}
