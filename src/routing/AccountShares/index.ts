import type { AccountShare } from '../../contract/AccountShare'

interface Traffic {
  /** Tokens of the requests that arrived, repeated ones included. */
  demand: number
  /** Tokens of the requests that were placed. */
  service: number
}

interface Standing {
  /** Tokens that the account was served recently. */
  service: number
  /** Service divided by the fair share: above 1, the account takes what others are due. 0 while no account is short. */
  shareRatio: number
  /** Service divided by what the account is due, which is the less of its demand and the fair share. */
  coverage: number
}

interface FairShare {
  /** Tokens that an account with unlimited demand is due, as of the reference time; Infinity while all are served in full. */
  tokens: number
  /** Whether an account is served clearly less than it is due. */
  isAnyShort: boolean
}

/** Time constant of the exponential decay: after this time 37% of a request's tokens still count. */
const DECAY_MS = 4_000
/** Sums are kept as of a reference time, which is renewed after this time so that they stay within range. */
const REFERENCE_TTL_MS = 40_000
/** Accounts with less recent traffic are forgotten. */
const MIN_TRAFFIC_TOKENS = 1
/** An account is short if it gets less than this part of what it is due, even with the allowance added. */
const SHORT_COVERAGE = 0.8
/** About the size of a prompt: one that still waits, or was refused once, makes no account short. */
const ALLOWANCE_TOKENS = 20_000
/** A difference below one in a billion is a rounding error of the sums. */
const ROUNDING_FACTOR = 1 - 1e-9
/** Bounds the table that is sent with the reply to each load report; about 2 kB. */
const MAX_LISTED_ACCOUNTS = 64
const NO_TRAFFIC: Readonly<Traffic> = { demand: 0, service: 0 }

/**
 * @name AccountShares
 * @category Routing
 * @summary Recent demand and service of each client account, and its max-min fair share of what is served.
 *
 * @description
 * The fair share is the level at which what was served would have been divided among the accounts by progressive filling:
 * accounts that request less are served in full, and all others get the same. The table can be copied to other
 * schedulers, which then continue with the figures of the fleet. Times are milliseconds of a monotonic clock.
 *
 * @example
 * shares.recordDemand('a', 900, nowMs)
 * shares.recordDemand('b', 100, nowMs)
 * shares.recordService('a', 500, nowMs)
 * shares.recordService('b', 50, nowMs)
 * shares.getStanding('b', nowMs) // { service: 50, shareRatio: 0, coverage: 0.5 }
 */
export class AccountShares {
  /** Traffic as of the reference time. All sums decay alike, so the order of the accounts changes only with new traffic. */
  readonly #accounts = new Map<string, Traffic>()
  #referenceMs = 0
  /** Undefined after new traffic. */
  #fairShare: FairShare | undefined

  /** Adds tokens of a request that arrives now, or takes back those of one that arrived at the given time (negative). */
  recordDemand (account: string, tokens: number, atMs: number): void {
    const weight = this.#computeWeight(atMs)
    const traffic = this.#getTraffic(account)
    traffic.demand = Math.max(0, traffic.demand + tokens * weight)
  }

  /** Adds tokens of a request that is placed now, or takes back those of one that was placed at the given time (negative). */
  recordService (account: string, tokens: number, atMs: number): void {
    const weight = this.#computeWeight(atMs)
    const traffic = this.#getTraffic(account)
    traffic.service = Math.max(0, traffic.service + tokens * weight)
  }

  /** Returns the standing of an account. Its coverage is that after a request of `pendingTokens` has been placed. */
  getStanding (account: string, nowMs: number, { pendingTokens = 0 }: { pendingTokens?: number } = {}): Standing {
    const weight = this.#computeWeight(nowMs)
    const { tokens, isAnyShort } = this.#fairShare ??= this.#computeFairShare(weight)
    const { demand, service } = this.#accounts.get(account) ?? NO_TRAFFIC
    const due = Math.min(demand, tokens)
    return { service: service / weight, shareRatio: isAnyShort ? service / tokens : 0, coverage: due > 0 ? (service + pendingTokens * weight) / due : 1 }
  }

  /**
   * Lists the traffic of the accounts while some are served less than they request. Otherwise the list is empty, and so are
   * the tables that it replaces: without a shortage no account has to be compared.
   */
  list (nowMs: number): AccountShare[] {
    const weight = this.#computeWeight(nowMs)
    this.#fairShare ??= this.#computeFairShare(weight)
    if (this.#fairShare.tokens === Infinity) return []
    const rows = [...this.#accounts].map(([account, { demand, service }]): AccountShare => [account, Math.round(demand / weight), Math.round(service / weight)])
    return rows.filter(([, demand]) => demand >= MIN_TRAFFIC_TOKENS).sort((a, b) => b[1] - a[1]).slice(0, MAX_LISTED_ACCOUNTS)
  }

  /** Takes over the table of the scheduler that knows all requests. */
  replace (rows: readonly AccountShare[], nowMs: number): void {
    this.#accounts.clear()
    this.#fairShare = undefined
    this.merge(rows, nowMs)
  }

  /** Adds a copy of the same fleet's table: the larger figure counts, because copies differ by their age mostly. */
  merge (rows: readonly AccountShare[], nowMs: number): void {
    const weight = this.#computeWeight(nowMs)
    for (const [account, demand, service] of rows) {
      const traffic = this.#getTraffic(account)
      traffic.demand = Math.max(traffic.demand, demand * weight)
      traffic.service = Math.max(traffic.service, service * weight)
    }
  }

  /** Returns the account's sums, to be changed by the caller. */
  #getTraffic (account: string): Traffic {
    this.#fairShare = undefined
    let traffic = this.#accounts.get(account)
    if (!traffic) {
      traffic = { ...NO_TRAFFIC }
      this.#accounts.set(account, traffic)
    }
    return traffic
  }

  /** Weight of a token now, compared with one at the reference time. */
  #computeWeight (nowMs: number): number {
    if (nowMs - this.#referenceMs > REFERENCE_TTL_MS) this.#renewReference(nowMs)
    return Math.exp((nowMs - this.#referenceMs) / DECAY_MS)
  }

  #renewReference (nowMs: number): void {
    const factor = Math.exp((this.#referenceMs - nowMs) / DECAY_MS)
    this.#referenceMs = nowMs
    this.#fairShare = undefined
    for (const [account, traffic] of this.#accounts) {
      traffic.demand *= factor
      traffic.service *= factor
      if (traffic.demand + traffic.service < MIN_TRAFFIC_TOKENS) this.#accounts.delete(account)
    }
  }

  #computeFairShare (weight: number): FairShare {
    const traffics = [...this.#accounts.values()].sort((a, b) => a.demand - b.demand)
    let undivided = traffics.reduce((sum, { demand, service }) => sum + Math.min(demand, service), 0)
    for (const [index, { demand }] of traffics.entries()) {
      const share = undivided / (traffics.length - index)
      if (demand * ROUNDING_FACTOR > share) {
        const tokens = Math.max(share, MIN_TRAFFIC_TOKENS)
        return { tokens, isAnyShort: traffics.some(traffic => traffic.service + ALLOWANCE_TOKENS * weight < SHORT_COVERAGE * Math.min(traffic.demand, tokens)) }
      }
      undivided -= demand
    }
    return { tokens: Infinity, isAnyShort: false }
  }
}
