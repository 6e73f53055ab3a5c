import type { Suspicion } from '../Suspicion'

/**
 * Block time before the first probe. Several innocent parts may share the crashes of the one at fault; those that were
 * answered before are less likely to be at fault, so they are probed first.
 */
const ANSWERED_BLOCK_MS = 300
const UNKNOWN_BLOCK_MS = 2_000
/** A crash by a probe shows that the part is at fault. Each further one makes the block several times as long. */
const PROBED_BLOCK_MS = 60_000
const BLOCK_GROWTH = 4
const MAX_BLOCK_MS = 24 * 3_600_000

/** Time in milliseconds from a crash to the next probe of the part. */
export function computeBlockMs ({ probeCrashes, wasAnswered }: Pick<Suspicion, 'probeCrashes' | 'wasAnswered'>): number {
  if (probeCrashes > 0) return Math.min(MAX_BLOCK_MS, PROBED_BLOCK_MS * BLOCK_GROWTH ** (probeCrashes - 1))
  return wasAnswered ? ANSWERED_BLOCK_MS : UNKNOWN_BLOCK_MS
}
