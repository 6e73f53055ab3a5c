/** Tracks the offset up to which the log is durable, while writes are in flight and entries may be replaced. */
export class SyncTracker {
  #pending: Array<{ sequence: number, lastOffset: number }> = []
  #nextSequence = 1
  #syncedOffset: number

  constructor (syncedOffset: number) {
    this.#syncedOffset = syncedOffset
  }

  get syncedOffset (): number {
    return this.#syncedOffset
  }

  /** Registers a write of entries up to an offset and returns its sequence number. */
  startWrite (lastOffset: number): number {
    const sequence = this.#nextSequence++
    this.#pending.push({ sequence, lastOffset })
    return sequence
  }

  /** Records that all writes up to a sequence number are durable. */
  handleSynced (sequence: number): void {
    while (this.#pending.length > 0 && this.#pending[0].sequence <= sequence) {
      this.#syncedOffset = Math.max(this.#syncedOffset, this.#pending.shift()!.lastOffset)
    }
  }

  /** Excludes the entries after an offset, which are replaced: writes of them still in flight no longer count. */
  truncateAfter (offset: number): void {
    this.#syncedOffset = Math.min(this.#syncedOffset, offset)
    for (const write of this.#pending) write.lastOffset = Math.min(write.lastOffset, offset)
  }

  /** Marks the log as durable up to the offset of an installed snapshot. Writes still in flight no longer count. */
  reset (offset: number): void {
    this.truncateAfter(offset)
    this.#syncedOffset = offset
  }
}
