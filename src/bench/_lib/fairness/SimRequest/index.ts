/** A request of the fairness experiment. */
export interface SimRequest {
  account: string
  /** Actual cost in tokens. */
  cost: number
  /** Cost in tokens that the caller announces. */
  hint: number
  arrivedAtMs: number
}
