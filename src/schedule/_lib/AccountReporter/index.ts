import type { PeerOperation } from '../../PeerOperation'
import type { PoolSet } from '../PoolSet'
import type { SentAccount } from '../SentAccount'

/**
 * Maximum settled cost that a `usage` operation reports as outstanding: the cost of a few requests, because it is
 * lost if the scheduler is lost.
 */
const MAX_SETTLED_AS_OUTSTANDING = 4_096
/** A backlog is reported again when its length has changed by this factor. */
const WAITING_FACTOR = 1.5
/** An estimate is reported again when it has changed by this factor. */
const ESTIMATE_FACTOR = 2
/** An account is reported again when its charged cost has changed by at least this amount. */
const MIN_CHARGE_CHANGE = 0.5

/** Creates the shortest operation that updates a peer on an account, or none if the values last sent are close enough. */
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
    const current = this.#getCurrent(service, account)
    const sent = this.#sent.get(key)
    if (sent && isUpToDate(current, sent)) return undefined
    if (sent && isUsageSufficient(current, sent)) {
      this.#sent.set(key, { ...sent, charged: current.charged, waiting: current.waiting })
      return { type: 'usage', service, account, outstanding: Math.max(0, current.charged - sent.total), waiting: current.waiting }
    }
    this.#sent.set(key, current)
    const { charged, ...values } = current
    return { type: 'account', service, account, ...values, outstanding: charged - current.total }
  }

  #getCurrent (service: string, account: string): SentAccount {
    const pool = this.#pools.get(service)
    const { total, outstanding, lift } = pool.ledger.getEntry(account)
    const waiting = pool.countLocalWaiting(account)
    return { total, lift, charged: total + outstanding, waiting, estimate: waiting > 0 ? pool.getNextLocalEstimate(account) : undefined }
  }
}

function isWithinFactor (a: number, b: number, factor: number): boolean {
  return a === b || (a > 0 && b > 0 && a < b * factor && b < a * factor)
}

function isUpToDate (current: SentAccount, sent: SentAccount): boolean {
  return Math.abs(current.charged - sent.charged) < MIN_CHARGE_CHANGE && current.lift === sent.lift && isWithinFactor(current.waiting, sent.waiting, WAITING_FACTOR)
}

/** Whether the short form, a `usage` operation, can express the change. */
function isUsageSufficient (current: SentAccount, sent: SentAccount): boolean {
  const isEstimateClose = current.estimate === undefined || (sent.estimate !== undefined && isWithinFactor(current.estimate, sent.estimate, ESTIMATE_FACTOR))
  return current.lift === sent.lift && current.total - sent.total <= MAX_SETTLED_AS_OUTSTANDING && isEstimateClose
}
