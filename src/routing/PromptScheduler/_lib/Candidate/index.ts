import type { TargetEntry } from '../../../../contract/TargetEntry'
import type { EngineState } from '../../../EngineState'

/** An engine that may run a prompt. */
export interface Candidate {
  target: TargetEntry
  engine: EngineState
  /** Estimated prefill time of the prompt at an engine of nominal speed. */
  nominalReadMs: number
  /** Estimated prefill time of the prompt at this engine. */
  readMs: number
  /** Estimated time until the engine has prefilled the prompts that were placed there before. */
  waitMs: number
  /** Position among the eligible targets in the rendezvous order of the prompt's key, 0 for the first. */
  rank: number
}
