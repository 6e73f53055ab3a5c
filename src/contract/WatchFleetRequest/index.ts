import { z } from 'zod'

/**
 * @name WatchFleetRequest
 * @category Contract
 * @summary Request `watchFleet` of a router to a registry replica. The reply is a FleetView.
 *
 * @description
 * The replica replies at once if it has a newer document or another list of targets than the watcher, otherwise after
 * `waitMs`.
 *
 * @example
 * WatchFleetRequest.parse({ version: 0, targetRevision: '', waitMs: 1000 })
 */
export const WatchFleetRequest = z.object({
  /** Version of the watcher's route document. */
  version: z.number(),
  /** Revision of the watcher's list of targets. */
  targetRevision: z.string(),
  /** Longest time in milliseconds until the reply. */
  waitMs: z.number().nonnegative()
})
export type WatchFleetRequest = z.infer<typeof WatchFleetRequest>
