import type { GrantRecord } from '../GrantRecord'

/** Last known state of a router of this zone. */
export interface RouterState {
  session: number
  lastHeardAtMs: number
  nextGrantId: number
  grants: Map<number, GrantRecord>
}
