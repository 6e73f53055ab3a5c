import type { PeerOperation } from '../../PeerOperation'
import type { PoolSet } from '../PoolSet'
import type { SentAccount } from '../SentAccount'

/** Settled cost that may be reported as outstanding. It is lost if the scheduler is lost, so it is a few requests at most. */
const MAX_UNSETTLED = 4_096
/** A queue is reported again when its length changed by this factor. */
const WAITING_FACTOR = 1.5
/** An estimate is reported again when it changed by this factor. */
const ESTIMATE_FACTOR = 2
const MIN_CHANGE = 0.5

/** Chooses the shortest form in which a peer is told about an account, and nothing if it knows enough. */
export class AccountReporter {
  readonly #pools: PoolSet
  readonly #sent = new Map<string, SentAccount>()

  constructor (pools: PoolSet) {
    this.#pools = pools
  }

  clear (): void {
    this.#sent.clear()
  }

  createOperation (service: string, account: string): PeerOperation | undefined {
    const key = `${service}/${account}`
    const now = this.#getState(service, account)
    const sent = this.#sent.get(key)
    if (sent && isKnown(now, sent)) return undefined
    if (sent && isShortEnough(now, sent)) {
      this.#sent.set(key, { ...sent, charged: now.charged, waiting: now.waiting })
      return { type: 'usage', service, account, outstanding: Math.max(0, now.charged - sent.total), waiting: now.waiting }
    }
    this.#sent.set(key, now)
    const { charged, ...values } = now
    return { type: 'account', service, account, ...values, outstanding: charged - now.total }
  }

  #getState (service: string, account: string): SentAccount {
    const pool = this.#pools.get(service)
    const { total, outstanding, lift } = pool.ledger.getCopy(account)
    const waiting = pool.countLocal(account)
    return { total, lift, charged: total + outstanding, waiting, estimate: waiting > 0 ? pool.getEstimate(account) : undefined }
  }
}

function isSimilar (a: number, b: number, factor: number): boolean {
  return a === b || (a > 0 && b > 0 && a < b * factor && b < a * factor)
}

function isKnown (now: SentAccount, sent: SentAccount): boolean {
  return Math.abs(now.charged - sent.charged) < MIN_CHANGE && now.lift === sent.lift && isSimilar(now.waiting, sent.waiting, WAITING_FACTOR)
}

function isShortEnough (now: SentAccount, sent: SentAccount): boolean {
  const isEstimateKnown = now.estimate === undefined || (sent.estimate !== undefined && isSimilar(now.estimate, sent.estimate, ESTIMATE_FACTOR))
  return now.lift === sent.lift && now.total - sent.total <= MAX_UNSETTLED && isEstimateKnown
}
