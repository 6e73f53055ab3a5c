/** Waiting requests of one router or zone: its reported count, less the grants that the report doesn't reflect yet. */
export class BacklogEntry {
  estimate = 1
  prefixHash?: number
  excluded?: ReadonlySet<string>
  #reportedWaiting = 0
  #lastSeenId = 0
  /** Ids of the grants or loans that the reporter had not received when it counted. */
  #newerGrantIds: number[] = []

  get waiting (): number {
    return Math.max(0, this.#reportedWaiting - this.#newerGrantIds.length)
  }

  /** Sets the reported count. `lastSeenId`: newest grant or loan that the reporter had received when it counted. */
  setReported (waiting: number, lastSeenId: number): void {
    this.#reportedWaiting = waiting
    this.#lastSeenId = lastSeenId
    this.#newerGrantIds = this.#newerGrantIds.filter(id => id > lastSeenId)
  }

  addGrant (id: number): void {
    if (id > this.#lastSeenId) this.#newerGrantIds.push(id)
  }
}
