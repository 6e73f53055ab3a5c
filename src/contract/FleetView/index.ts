import { z } from 'zod'
import { TargetEntry } from '../TargetEntry'

/**
 * @name FleetView
 * @category Contract
 * @summary What a registry replica tells its watchers.
 *
 * @description
 * `version`: newest committed route document here, 0 if none. `replicas`: hosts of all replicas that it knows.
 * `isLeader`: whether it leads the log; only a leader reads the list of targets and merges load reports. `targets` is
 * sent when `targetRevision` differs from the watcher's; `targetAgeMs` is the time since the list was read.
 *
 * @example
 * FleetView.parse({ version: 1, replicas: ['10.1.0.38'], isLeader: false, targetRevision: '' })
 */
export const FleetView = z.object({
  version: z.number(),
  replicas: z.array(z.string()),
  isLeader: z.boolean(),
  targetRevision: z.string(),
  targetAgeMs: z.number().optional(),
  targets: z.array(TargetEntry).optional()
})
export type FleetView = z.infer<typeof FleetView>
