import type { PlatformInstance } from '../../contract/PlatformInstance'

/**
 * @name Member
 * @category Membership
 * @summary An instance in the membership view.
 *
 * @example
 * const isUsable = (member: Member): boolean => member.state === 'live'
 */
export interface Member extends Omit<PlatformInstance, 'state'> {
  /**
   * `live`: a recent heartbeat has arrived. `leaving`: the instance or the platform has announced its stop. `suspect`:
   * the instance is listed or was seen before, but has sent no recent heartbeat.
   */
  state: 'live' | 'leaving' | 'suspect'
  /** Incarnation in the newest heartbeat; undefined if none has arrived. */
  incarnation?: string
}
