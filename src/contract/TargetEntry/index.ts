import { z } from 'zod'

/**
 * @name TargetEntry
 * @category Contract
 * @summary A target as the platform's list describes it.
 *
 * @description
 * `id` names one life of the target at its address; a target that starts again mostly has another one. `warmupMs`:
 * how much longer the target is slow after its start.
 *
 * @example
 * TargetEntry.parse({ id: 'i-1', service: 's', host: '10.0.0.9', port: 8080, zone: 'perth-a', slots: 48, isDraining: false, warmupMs: 0 })
 */
export const TargetEntry = z.object({
  id: z.string().min(1),
  service: z.string(),
  host: z.string(),
  port: z.number().int().positive(),
  zone: z.string(),
  slots: z.number().positive(),
  isDraining: z.boolean(),
  warmupMs: z.number().nonnegative()
})
export type TargetEntry = z.infer<typeof TargetEntry>
