interface AdmissionRequest {
  /** Time from its arrival within which the request should get its first event. */
  objectiveMs: number
  /** Time since its arrival. */
  waitedMs: number
  /** Maximum wait of a large prompt that is placed although it is predicted to be late; 0 for other prompts. */
  largePromptWaitMs: number
}

interface AdmissionLimits {
  /** Maximum time until the end of the prefill for a prompt that is in time. */
  remainingMs: number
  /** Maximum wait for a prompt that is predicted to be late. */
  lateWaitMs: number
  /** Maximum outstanding prefill of an engine ahead of the prompt, in time or not. */
  queueMs: number
  /** Share of an engine's slots that the account may fill up. */
  slotShare: number
}

/** Part of the time to the first event that every engine needs: transport, batching and the first token itself. */
const FIRST_EVENT_OVERHEAD_MS = 120
/** An account that has got up to this part of its fair share may fill the queues of engines. */
const FULL_ROOM_RATIO = 0.8
/** An account that has got this many times its fair share has the least room. */
const MIN_ROOM_RATIO = 1.5
/** Engines work through the rest of their queue meanwhile, so none of them is idle because of the limit. */
const MIN_QUEUE_SHARE = 0.3
const MIN_SLOT_SHARE = 0.9
/** An account with less of what it is due gets its prompts placed even if they are late, because they fit nowhere in time. */
const LATE_PLACEMENT_COVERAGE = 0.7
/** Maximum estimated wait of such a late prompt. */
const LATE_PLACEMENT_WAIT_MS = 400

/**
 * Computes how much of an engine's queue and slots a request may use, from the standing of its client account. The room
 * shrinks as the account exceeds its fair share, so that accounts within theirs find room at every engine.
 */
export function computeAdmissionLimits ({ objectiveMs, waitedMs, largePromptWaitMs }: AdmissionRequest, { shareRatio, coverage }: { shareRatio: number, coverage: number }): AdmissionLimits {
  const room = Math.min(1, Math.max(0, (MIN_ROOM_RATIO - shareRatio) / (MIN_ROOM_RATIO - FULL_ROOM_RATIO)))
  const timelyMs = objectiveMs - FIRST_EVENT_OVERHEAD_MS
  const lateWaitMs = coverage < LATE_PLACEMENT_COVERAGE ? LATE_PLACEMENT_WAIT_MS : largePromptWaitMs
  return {
    remainingMs: timelyMs - waitedMs,
    lateWaitMs,
    queueMs: Math.max(lateWaitMs, timelyMs * (MIN_QUEUE_SHARE + room * (1 - MIN_QUEUE_SHARE))),
    slotShare: MIN_SLOT_SHARE + room * (1 - MIN_SLOT_SHARE)
  }
}
