import type { SuspectPart } from '../../contract/SuspectPart'

/**
 * @name selectSuspects
 * @category Routing
 * @summary Selects the suspected parts that instances tell each other about, which bounds the size of the message.
 *
 * @param suspects - Suspected parts in any order.
 * @param options - Maximum number of parts.
 * @returns The parts with the most crashes; of these, those that are blocked for the longest time.
 *
 * @example
 * selectSuspects([{ service: 's', part: 'p', crashes: 2, blockedMs: 900, targets: [] }], { max: 64 })
 */
export function selectSuspects (suspects: readonly SuspectPart[], { max }: { max: number }): SuspectPart[] {
  if (suspects.length <= max) return [...suspects]
  return [...suspects].sort((a, b) => b.crashes - a.crashes || b.blockedMs - a.blockedMs).slice(0, max)
}
