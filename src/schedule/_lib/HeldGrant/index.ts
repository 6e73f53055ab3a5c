import type { GrantOperation } from '../../GrantOperation'

/** A grant that this router holds. */
export interface HeldGrant {
  grant: GrantOperation
  /** Estimate of the request that uses the grant; 0 until it starts. */
  estimate: number
  /** Cost of the request so far. */
  cost: number
  /** Cost in the last progress report; 0 if none was sent. */
  reportedCost: number
}
