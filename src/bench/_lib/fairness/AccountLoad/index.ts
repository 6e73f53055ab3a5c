/** How one account of the experiment sends requests. */
export interface AccountLoad {
  name: string
  /** Keeps this many requests queued at any time; 0 for none. */
  queued: number
  /** Mean requests per second that arrive at random times. */
  ratePerS: number
  minCost: number
  maxCost: number
  /** Share of the requests that enters at each router. */
  spread: readonly number[]
  /** Announced cost divided by actual cost. */
  hintFactor: number
  /** The account sends nothing outside of these times. */
  fromMs: number
  untilMs: number
  /** The account pauses between these times. */
  idleFromMs?: number
  idleUntilMs?: number
}
