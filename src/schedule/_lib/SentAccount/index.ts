/** Values of an account that were last sent to a peer. */
export interface SentAccount {
  total: number
  lift: number
  /** Sum of total and outstanding cost. */
  charged: number
  waiting: number
  estimate?: number
}
