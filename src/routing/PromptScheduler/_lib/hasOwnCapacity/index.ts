interface OwnLoad {
  /** Share of the engines' load that the scheduler places. */
  share: number
  engines: number
  /** Slots of all engines. */
  slots: number
  /** Calls of the scheduler that run at engines. */
  running: number
  /** Outstanding prefill of these calls at all engines. */
  pendingPrefillMs: number
  /** Maximum outstanding prefill of an engine ahead of a prompt. */
  queueMs: number
}

/**
 * Whether a scheduler that places a part of the load may place one more prompt. It does not know the load that the others
 * place at an engine, so it keeps to its share of the slots and queues of all engines together: if each of many schedulers
 * took an engine without calls of its own for free, they would place several times what the engines can run.
 */
export function hasOwnCapacity ({ share, engines, slots, running, pendingPrefillMs, queueMs }: OwnLoad, readMs: number): boolean {
  if (share >= 1 || running === 0) return true
  return running < slots * share && (pendingPrefillMs === 0 || pendingPrefillMs + readMs <= engines * queueMs * share)
}
