/** Waiting requests in one place: a count that the place reported, less the grants that the report doesn't reflect yet. */
export class BacklogEntry {
  estimate = 1
  prefixHash?: number
  excluded?: ReadonlySet<string>
  #reported = 0
  #lastSeenId = 0
  #grantedIds: number[] = []

  get waiting (): number {
    return Math.max(0, this.#reported - this.#grantedIds.length)
  }

  /** Takes over a report. `lastSeenId`: the newest grant that the reporter had received when it counted. */
  report (waiting: number, lastSeenId: number): void {
    this.#reported = waiting
    this.#lastSeenId = lastSeenId
    this.#grantedIds = this.#grantedIds.filter(id => id > lastSeenId)
  }

  addGrant (id: number): void {
    if (id > this.#lastSeenId) this.#grantedIds.push(id)
  }
}
