/**
 * @name Heartbeat
 * @category Membership
 * @summary Evidence that an instance is alive.
 *
 * @description
 * `startedAtMs`: wall-clock time of the start in milliseconds since the epoch; the later start wins between two
 * incarnations of an instance.
 *
 * @example
 * const heartbeat: Heartbeat = { instance: 'r1', incarnation: 'a1', startedAtMs: 0, isLeaving: false }
 */
export interface Heartbeat {
  instance: string
  incarnation: string
  startedAtMs: number
  /** The instance has begun its planned stop. */
  isLeaving: boolean
}
