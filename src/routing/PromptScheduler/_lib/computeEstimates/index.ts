import type { EngineState } from '../../../EngineState'

interface Estimates {
  /** Outstanding prefill of all engines at nominal speed. */
  pendingPrefillMs: number
  /** Outstanding prefill of the engine that has most. */
  maxPendingPrefillMs: number
  /** By how much the prefill of the slowest engine is scaled. */
  maxSlowdown: number
}

/** Sums up the estimates about engines, by id, that all placements are based on. */
export function computeEstimates (engines: ReadonlyMap<string, EngineState>, getSlowdown: (id: string) => number): Estimates {
  const pending = [...engines.values()].map(({ pendingPrefillMs }) => pendingPrefillMs)
  return {
    pendingPrefillMs: pending.reduce((sum, ms) => sum + ms, 0),
    maxPendingPrefillMs: Math.max(0, ...pending),
    maxSlowdown: Math.max(1, ...[...engines.keys()].map(getSlowdown))
  }
}
