import { z } from 'zod'

/**
 * @name WeightStore
 * @category Contract
 * @summary Value of `/fleet/weightStore`: the limits of the store that model weights are loaded from.
 *
 * @example
 * WeightStore.parse({ maxConcurrentLoads: 2, loadsPerMinute: 6 })
 */
export const WeightStore = z.strictObject({
  /** Maximum number of loads of the whole fleet at once. */
  maxConcurrentLoads: z.number().int().positive(),
  /** Maximum number of loads of the whole fleet that may start per minute on average. */
  loadsPerMinute: z.number().positive()
})
export type WeightStore = z.infer<typeof WeightStore>
