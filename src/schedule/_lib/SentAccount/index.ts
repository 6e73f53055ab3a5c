/** What a peer was told last about an account. */
export interface SentAccount {
  total: number
  lift: number
  /** Total and outstanding together. */
  charged: number
  waiting: number
  estimate?: number
}
