import { z } from 'zod'

/**
 * @name WatchFleetRequest
 * @category Contract
 * @summary Request `watchFleet` of a router to a registry replica.
 *
 * @description
 * The reply is a FleetView. It comes at once if the replica has a newer document or another list of targets than the
 * watcher, otherwise after `waitMs`.
 *
 * @example
 * WatchFleetRequest.parse({ version: 0, targetRevision: '', waitMs: 1000 })
 */
export const WatchFleetRequest = z.object({
  version: z.number(),
  targetRevision: z.string(),
  waitMs: z.number().nonnegative()
})
export type WatchFleetRequest = z.infer<typeof WatchFleetRequest>
