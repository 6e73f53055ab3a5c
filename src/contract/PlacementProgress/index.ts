import { z } from 'zod'

/**
 * @name PlacementProgress
 * @category Contract
 * @summary One-way message `reportProgress`: what became of placed calls.
 *
 * @description
 * Pairs of a call's id and its event. `read`: the target has read the prompt and made the first event. `ended`: the
 * call no longer runs. `unreachable`: the target could not be reached. `lost`: its answer broke off. Both of these end
 * the call too. `withdrawn`: the caller left while the call waited for its placement.
 *
 * @example
 * PlacementProgress.parse([['7', 'read'], ['6', 'ended']])
 */
export const PlacementProgress = z.array(z.tuple([z.string(), z.enum(['read', 'ended', 'unreachable', 'lost', 'withdrawn'])]))
export type PlacementProgress = z.infer<typeof PlacementProgress>
