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
  /** Service divided by the fair share: above 1, the account takes what others are due. 0 while all are served in full. */
  excess: number
  /** Service divided by what the account is due, which is the less of its demand and the fair share. */
  coverage: number
}

/** Time constant of the exponential decay: after this time 37% of a request's tokens still count. */
const DECAY_MS = 4_000
/** Sums are kept as of a reference time, which is renewed after this time so that they stay within range. */
const REFERENCE_TTL_MS = 40_000
/** Accounts with less recent traffic are forgotten. */
const MIN_TRAFFIC_TOKENS = 1
/** A difference below one in a billion is a rounding error of the sums. */
const ROUNDING = 1 - 1e-9
/** Bounds the table that is sent to other processes. */
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
 * shares.getStanding('b', nowMs) // { service: 50, excess: 0.11, coverage: 0.5 }
 */
export class AccountShares {
  /** Traffic as of the reference time. All sums decay alike, so the order of the accounts changes only with new traffic. */
  readonly #accounts = new Map<string, Traffic>()
  #referenceMs = 0
  /** Fair share as of the reference time; undefined after new traffic. */
  #fairShare: number | undefined

  recordDemand (account: string, tokens: number, nowMs: number): void {
    const weight = this.#computeWeight(nowMs)
    this.#getTraffic(account).demand += tokens * weight
  }

  recordService (account: string, tokens: number, nowMs: number): void {
    const weight = this.#computeWeight(nowMs)
    this.#getTraffic(account).service += tokens * weight
  }

  getStanding (account: string, nowMs: number): Standing {
    const { demand, service } = this.#accounts.get(account) ?? NO_TRAFFIC
    this.#fairShare ??= this.#computeFairShare()
    const due = Math.min(demand, this.#fairShare)
    return { service: service / this.#computeWeight(nowMs), excess: service / this.#fairShare, coverage: due > 0 ? service / due : 1 }
  }

  /** Lists the traffic of the accounts while some are served less than they request; otherwise the list is empty. */
  list (nowMs: number): AccountShare[] {
    const weight = this.#computeWeight(nowMs)
    this.#fairShare ??= this.#computeFairShare()
    if (this.#fairShare === Infinity) return []
    const rows = [...this.#accounts].map(([account, { demand, service }]): AccountShare => [account, Math.round(demand / weight), Math.round(service / weight)])
    return rows.filter(([, demand]) => demand >= MIN_TRAFFIC_TOKENS).sort((a, b) => b[1] - a[1]).slice(0, MAX_LISTED_ACCOUNTS)
  }

  /** Takes over the table of the scheduler that knows all requests. */
  replace (rows: readonly AccountShare[], nowMs: number): void {
    this.#accounts.clear()
    this.merge(rows, nowMs)
  }

  /** Adds a copy of the same fleet's table: the larger figure counts, because copies differ by their age only. */
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

  #computeFairShare (): number {
    const traffics = [...this.#accounts.values()].sort((a, b) => a.demand - b.demand)
    let undivided = traffics.reduce((sum, { demand, service }) => sum + Math.min(demand, service), 0)
    for (const [index, { demand }] of traffics.entries()) {
      const share = undivided / (traffics.length - index)
      if (demand * ROUNDING > share) return Math.max(share, MIN_TRAFFIC_TOKENS)
      undivided -= demand
    }
    return Infinity
  }
}
