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
  maxConcurrentLoads: z.number().int().positive(),
  loadsPerMinute: z.number().positive()
})
export type WeightStore = z.infer<typeof WeightStore>
