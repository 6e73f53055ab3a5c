/**
 * @name Heartbeat
 * @category Membership
 * @summary Liveness message of an instance.
 *
 * @example
 * const heartbeat: Heartbeat = { instance: 'r1', incarnation: 'a1', startedAtMs: 0, isLeaving: false }
 */
export interface Heartbeat {
  instance: string
  /** Id of the process; differs after each restart of the instance. */
  incarnation: string
  /**
   * Wall-clock time of the start in milliseconds since the epoch. Of two incarnations of an instance, the one that
   * started later is current.
   */
  startedAtMs: number
  /** Whether the instance has begun its planned stop. */
  isLeaving: boolean
}
