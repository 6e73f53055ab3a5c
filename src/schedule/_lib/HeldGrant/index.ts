import type { GrantOperation } from '../../GrantOperation'

/** A grant in use by a request of this router. */
export interface HeldGrant {
  grant: GrantOperation
  estimate: number
  cost: number
  /** Cost up to which progress was reported. */
  reportedCost: number
}
