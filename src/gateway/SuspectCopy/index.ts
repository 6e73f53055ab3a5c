import type { LoadSummary } from '../../contract/LoadSummary'
import type { Link } from '../../link/Link'
import { MAX_SHARED_SUSPECTS } from '../../routing/MAX_SHARED_SUSPECTS'
import type { PromptQuarantine } from '../../routing/PromptQuarantine'
import { selectSuspects } from '../../routing/selectSuspects'

/**
 * @name SuspectCopy
 * @category Gateway
 * @summary Keeps a router's quarantine equal to that of the scheduler of the fleet, and hands it to a new scheduler.
 *
 * @description
 * The memory of the fleet survives its scheduler because every router has a copy: the first summary of a scheduler does
 * not replace the copy, but is answered with it. Messages of a link stay in order, so all later summaries contain what
 * was handed over. What the router observes while it decides by itself is handed over in the same way.
 *
 * A copy that was taken before a release would undo the release when it is handed over. The scheduler therefore ignores
 * released and answered parts for some minutes. Only a router that was out of touch when a part was released can hand it
 * to another scheduler; the part is then blocked until its block ends or it is released there.
 *
 * @example
 * copy.apply(summary, { link, isDetached: false }, nowMs)
 */
export class SuspectCopy {
  readonly #quarantine: PromptQuarantine
  /** Scheduler that has received this copy: its link, and the term in which it leads. */
  #adopter: { link: Link, term: number } | undefined

  constructor (quarantine: PromptQuarantine) {
    this.#quarantine = quarantine
  }

  /** Applies the summary of a scheduler; `isDetached` if this router decides by itself at the moment. */
  apply ({ suspects, term }: Pick<LoadSummary, 'suspects' | 'term'>, { link, isDetached }: { link: Link, isDetached: boolean }, nowMs: number): void {
    if (isDetached) {
      this.#adopter = undefined
      return this.#quarantine.merge(suspects, nowMs)
    }
    if (this.#adopter?.link === link && this.#adopter.term === term) return this.#quarantine.replace(suspects, nowMs)
    this.#adopter = { link, term }
    this.send(link, nowMs)
    this.#quarantine.merge(suspects, nowMs)
  }

  /** Hands the copy over to the scheduler. */
  send (link: Link, nowMs: number): void {
    const own = selectSuspects(this.#quarantine.list(nowMs), { max: MAX_SHARED_SUSPECTS })
    if (own.length > 0) link.send('adoptSuspects', own)
  }

  /** Records that this router decides by itself: what it observes is handed over at the next summary. */
  detach (): void {
    this.#adopter = undefined
  }
}
