import type { LoadSummary } from '../../contract/LoadSummary'
import type { Link } from '../../link/Link'
import type { AccountShares } from '../../routing/AccountShares'

/**
 * @name ShareCopy
 * @category Gateway
 * @summary Keeps a router's account shares equal to those of the scheduler of the fleet, and hands them to a new scheduler.
 *
 * @description
 * The shares survive the scheduler because every router has a copy. The first summary of a scheduler does not replace the
 * copy, but is answered with it. A router that decides by itself continues with the copy.
 *
 * @param shares - Shares by which the router decides.
 *
 * @example
 * copy.apply(summary, link, nowMs)
 */
export class ShareCopy {
  readonly #shares: AccountShares
  /** Scheduler that has received this copy: its link, and the term in which it leads. */
  #adopter: { link: Link, term: number } | undefined

  constructor (shares: AccountShares) {
    this.#shares = shares
  }

  /** Applies the summary of a scheduler. */
  apply ({ shares, term }: Pick<LoadSummary, 'shares' | 'term'>, link: Link, nowMs: number): void {
    if (this.#adopter?.link === link && this.#adopter.term === term) return this.#shares.replace(shares, nowMs)
    this.#adopter = { link, term }
    this.send(link, nowMs)
    this.#shares.merge(shares, nowMs)
  }

  /** Hands the copy over to the scheduler. */
  send (link: Link, nowMs: number): void {
    const own = this.#shares.list(nowMs)
    if (own.length > 0) link.send('adoptShares', own)
  }
}
