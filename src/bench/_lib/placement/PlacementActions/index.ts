import type { PromptCall } from '../PromptCall'

/** What a policy may do with a call. `send` starts it at an engine, by index; `refuse` makes the caller come back later. */
export interface PlacementActions {
  nowMs: () => number
  schedule: (delayMs: number, run: () => void) => void
  send: (call: PromptCall, engine: number) => void
  refuse: (call: PromptCall, retryAfterMs: number) => void
}
