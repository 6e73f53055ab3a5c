import type { PromptPart } from '../../contract/PromptPart'
import { computeReadMs } from '../computeReadMs'

interface PlacementCandidate {
  id: string
  /** Position in the order that all routers agree on for this prompt; 0 is the target where its shared part belongs. */
  rank: number
  /** Time that the target still needs to read the prompts sent to it. */
  pendingMs: number
  running: number
  slots: number
  /** How many times slower than usual the target is. */
  slowdown: number
  isKept: (part: string) => boolean
}

interface Placement {
  id: string
  /** Estimated time that the target reads this prompt. */
  readMs: number
  /** Estimated time until the target has read this prompt. */
  waitMs: number
}

/** Makes all routers choose the same target among those that keep nothing of a prompt. */
const RANK_MS = 4
/** Time that one request more than the slots waits for a slot. */
const SLOT_WAIT_MS = 60

/**
 * @name choosePlacement
 * @category Routing
 * @summary Chooses the engine where a prompt is read soonest, counting what reading it again costs the others.
 *
 * @description
 * Answers the load pattern of many prompts with few long shared parts: a part is read once where it belongs and then
 * reused; when that target falls behind by more than a second reading costs, the prompt goes elsewhere. Time that a
 * target spends on reading a kept part again counts twice, because the requests after it wait as well.
 *
 * @param candidates - Targets that may run the request, at least one.
 * @param prompt - The parts in order and the number of all tokens.
 * @returns The target with its estimates.
 *
 * @example
 * choosePlacement(candidates, { parts: [{ id: 'a', tokens: 13_000 }], promptTokens: 14_000 }).id
 */
export function choosePlacement (candidates: readonly PlacementCandidate[], prompt: { parts: readonly PromptPart[], promptTokens: number }): Placement {
  const options = candidates.map(candidate => createOption(candidate, prompt))
  const leastReadMs = Math.min(...options.map(({ readMs }) => readMs))
  const costs = options.map(({ waitMs, readMs, rank }) => waitMs + (readMs - leastReadMs) + rank * RANK_MS)
  return options[costs.indexOf(Math.min(...costs))]
}

function createOption (candidate: PlacementCandidate, { parts, promptTokens }: { parts: readonly PromptPart[], promptTokens: number }): Placement & { rank: number } {
  const { id, rank, pendingMs, running, slots, slowdown, isKept } = candidate
  const missing = parts.findIndex(part => !isKept(part.id))
  const keptTokens = (missing === -1 ? parts : parts.slice(0, missing)).reduce((sum, { tokens }) => sum + tokens, 0)
  const readMs = computeReadMs(Math.max(0, promptTokens - keptTokens), keptTokens) * slowdown
  const slotMs = Math.max(0, running + 1 - slots) * SLOT_WAIT_MS
  return { id, rank, readMs, waitMs: pendingMs * slowdown + slotMs + readMs }
}
