import type { GrantRecord } from '../GrantRecord'

/** What the scheduler knows about a router of its zone. */
export interface RouterState {
  session: number
  lastHeardAtMs: number
  nextGrantId: number
  grants: Map<number, GrantRecord>
}
