import type { PromptCall } from '../PromptCall'

/** Actions of the simulation that a placement policy can use. */
export interface PlacementActions {
  nowMs: () => number
  schedule: (delayMs: number, run: () => void) => void
  /** Starts a call at the engine with the given index. */
  send: (call: PromptCall, engine: number) => void
  /** Refuses a call. The simulated caller retries once after the given delay. */
  refuse: (call: PromptCall, retryAfterMs: number) => void
}
