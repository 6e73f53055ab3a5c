import { BacklogEntry } from '../BacklogEntry'

/** Waiting requests of one account for one service, by router of this zone (local) and by other zone (remote). */
export class AccountBacklog {
  readonly local = new Map<string, BacklogEntry>()
  readonly remote = new Map<string, BacklogEntry>()
  #localWaiting = 0
  #remoteWaiting = 0

  get localWaiting (): number {
    return this.#localWaiting
  }

  get remoteWaiting (): number {
    return this.#remoteWaiting
  }

  get waiting (): number {
    return this.#localWaiting + this.#remoteWaiting
  }

  updateLocal (router: string, change: (entry: BacklogEntry) => void): void {
    this.#localWaiting += updateEntry(this.local, router, change)
  }

  updateRemote (zone: string, change: (entry: BacklogEntry) => void): void {
    this.#remoteWaiting += updateEntry(this.remote, zone, change)
  }

  removeLocal (router: string): void {
    this.#localWaiting -= this.local.get(router)?.waiting ?? 0
    this.local.delete(router)
  }

  removeRemote (zone: string): void {
    this.#remoteWaiting -= this.remote.get(zone)?.waiting ?? 0
    this.remote.delete(zone)
  }

  /** The other zone with the most waiting requests. */
  findLongestRemote (): { zone: string, entry: BacklogEntry } | undefined {
    let longest: { zone: string, entry: BacklogEntry } | undefined
    for (const [zone, entry] of this.remote) {
      if (entry.waiting > (longest?.entry.waiting ?? 0)) longest = { zone, entry }
    }
    return longest
  }
}

/** Changes an entry and returns the difference in its number of waiting requests. */
function updateEntry (entries: Map<string, BacklogEntry>, key: string, change: (entry: BacklogEntry) => void): number {
  let entry = entries.get(key)
  if (!entry) {
    entry = new BacklogEntry()
    entries.set(key, entry)
  }
  const before = entry.waiting
  change(entry)
  return entry.waiting - before
}
