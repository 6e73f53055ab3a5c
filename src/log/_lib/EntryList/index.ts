import type { LogEntry } from '../../../contract/LogEntry'
import type { LogMembers } from '../../../contract/LogMembers'

interface Base {
  /** Offset of the last entry that is no longer held; 0 if none was removed. */
  offset: number
  term: number
  members?: LogMembers
}

interface Membership {
  offset: number
  members: LogMembers
}

/** In-memory entries of the log after a base offset, with the membership changes among them. */
export class EntryList {
  #base: Base = { offset: 0, term: 0 }
  #entries: LogEntry[] = []
  #memberships: Membership[] = []

  get baseOffset (): number {
    return this.#base.offset
  }

  get lastOffset (): number {
    return this.#base.offset + this.#entries.length
  }

  get lastTerm (): number {
    return this.#entries.at(-1)?.term ?? this.#base.term
  }

  /** Offset of the newest membership change, 0 if there is none. */
  get membersOffset (): number {
    return this.#memberships.at(-1)?.offset ?? 0
  }

  get members (): LogMembers | undefined {
    return this.#memberships.at(-1)?.members
  }

  /** Returns the members according to the newest membership change up to an offset. */
  getMembersAt (offset: number): LogMembers | undefined {
    return this.#memberships.findLast(membership => membership.offset <= offset)?.members
  }

  get (offset: number): LogEntry | undefined {
    return this.#entries[offset - this.#base.offset - 1]
  }

  getTerm (offset: number): number | undefined {
    return offset === this.#base.offset ? this.#base.term : this.get(offset)?.term
  }

  /** Returns the entries after an offset within the limits, but at least one entry if there is any. */
  listAfter (afterOffset: number, limits: { maxEntries: number, maxBytes: number }): LogEntry[] {
    const entries: LogEntry[] = []
    let bytes = 0
    for (let offset = afterOffset + 1; offset <= this.lastOffset && entries.length < limits.maxEntries; offset++) {
      const entry = this.get(offset)!
      bytes += entry.command?.length ?? 0
      if (entries.length > 0 && bytes > limits.maxBytes) break
      entries.push(entry)
    }
    return entries
  }

  append (entry: LogEntry): void {
    this.#entries.push(entry)
    if (entry.members) this.#memberships.push({ offset: entry.offset, members: entry.members })
  }

  /** Removes the entries after an offset. */
  truncateAfter (offset: number): void {
    this.#entries.length = offset - this.#base.offset
    while (this.membersOffset > offset) this.#memberships.pop()
  }

  /** Removes the entries up to an offset. */
  truncateThrough (offset: number): void {
    if (offset <= this.#base.offset) return
    const term = this.getTerm(offset)!
    this.#entries = this.#entries.slice(offset - this.#base.offset)
    this.#base = { offset, term }
    while (this.#memberships.length > 1 && this.#memberships[1].offset <= offset) this.#memberships.shift()
  }

  /** Removes all entries and continues from a new base, such as a snapshot. */
  reset (base: Base): void {
    this.#base = { offset: base.offset, term: base.term }
    this.#entries = []
    this.#memberships = base.members ? [{ offset: base.offset, members: base.members }] : []
  }
}
