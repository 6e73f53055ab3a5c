import { z } from 'zod'
import { TargetEntry } from '../TargetEntry'

/**
 * @name FleetView
 * @category Contract
 * @summary Reply of a registry replica to `watchFleet`: the document version, the replicas and the list of targets.
 *
 * @example
 * FleetView.parse({ version: 1, replicas: ['10.1.0.38'], isLeader: false, targetRevision: '' })
 */
export const FleetView = z.object({
  /** Version of the newest route document that is committed at this replica; 0 if there is none. */
  version: z.number(),
  /** Hosts of all replicas that this replica knows. */
  replicas: z.array(z.string()),
  /** Whether the replica leads the log. Only the leader reads the list of targets and merges load reports. */
  isLeader: z.boolean(),
  /** Revision of the replica's list of targets. */
  targetRevision: z.string(),
  /** Milliseconds since the list of targets was read. */
  targetAgeMs: z.number().optional(),
  /** The list of targets; sent when `targetRevision` differs from the watcher's. */
  targets: z.array(TargetEntry).optional()
})
export type FleetView = z.infer<typeof FleetView>
