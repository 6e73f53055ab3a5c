import type { PlatformInstance } from '../../contract/PlatformInstance'

/**
 * @name Member
 * @category Membership
 * @summary An instance as the membership view sees it.
 *
 * @description
 * `live`: a fresh heartbeat. `leaving`: it or the platform announced its stop. `suspect`: listed or seen before, but
 * without a fresh heartbeat.
 *
 * @example
 * const isUsable = (member: Member): boolean => member.state === 'live'
 */
export interface Member extends Omit<PlatformInstance, 'state'> {
  state: 'live' | 'leaving' | 'suspect'
  incarnation?: string
}
