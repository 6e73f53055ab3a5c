import { z } from 'zod'

/**
 * @name TargetEntry
 * @category Contract
 * @summary A target as described by the platform's list.
 *
 * @example
 * TargetEntry.parse({ id: 'i-1', service: 's', host: '10.0.0.9', port: 8080, zone: 'perth-a', slots: 48, isDraining: false, warmupMs: 0 })
 */
export const TargetEntry = z.object({
  /** Identifies one run of the target at its address; a restarted target usually has a new id. */
  id: z.string().min(1),
  service: z.string(),
  host: z.string(),
  port: z.number().int().min(1).max(65_535),
  zone: z.string(),
  /** Maximum number of requests that run on the target at once. */
  slots: z.number().int().positive().max(10_000),
  isDraining: z.boolean(),
  /** Milliseconds for which the target is still slow after its start. */
  warmupMs: z.number().nonnegative().max(Number.MAX_SAFE_INTEGER)
})
export type TargetEntry = z.infer<typeof TargetEntry>
