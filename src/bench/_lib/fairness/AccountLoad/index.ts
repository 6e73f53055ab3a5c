/** Request pattern of one account in the fairness experiment. */
export interface AccountLoad {
  name: string
  /** Number of requests that are kept queued at any time; 0 for none. */
  queued: number
  /** Mean rate of Poisson arrivals. */
  ratePerS: number
  minCost: number
  maxCost: number
  /** Share of the requests that is sent to each router, by index. */
  routerShares: readonly number[]
  /** Announced cost divided by actual cost. */
  hintFactor: number
  /** The account sends no requests before `fromMs` and from `untilMs` on. */
  fromMs: number
  untilMs: number
  /** The queue is not refilled from `idleFromMs` until `idleUntilMs`. */
  idleFromMs?: number
  idleUntilMs?: number
}
