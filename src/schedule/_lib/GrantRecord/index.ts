/** A grant that a router of this zone holds. */
export interface GrantRecord {
  id: number
  router: string
  service: string
  account: string
  target: string
  /** Cost charged so far. */
  charged: number
  /** Estimate that the router reported, before the correction by the cost estimator, if it is known. */
  hint?: number
  grantedAtMs: number
  /** Set if another zone lent the slot. That zone charges the account. */
  lentBy?: { zone: string, id: number }
}
