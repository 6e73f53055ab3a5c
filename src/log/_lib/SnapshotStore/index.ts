import type { LogSnapshot } from '../../../contract/LogSnapshot'
import type { LogStorage } from '../../LogStorage'
import type { DiskQueue } from '../DiskQueue'

/** Saves snapshots one at a time and holds the newest one that is saved. */
export class SnapshotStore {
  readonly #storage: LogStorage
  readonly #queue: DiskQueue
  #newest: LogSnapshot | undefined
  #lastSave: Promise<void> = Promise.resolve()
  #lastStartedOffset: number

  constructor (storage: LogStorage, queue: DiskQueue) {
    this.#storage = storage
    this.#queue = queue
    this.#newest = storage.snapshot
    this.#lastStartedOffset = storage.snapshot?.offset ?? 0
  }

  get newest (): LogSnapshot | undefined {
    return this.#newest
  }

  /** Offset of the newest snapshot that is saved or is being saved. */
  get lastStartedOffset (): number {
    return this.#lastStartedOffset
  }

  /** Saves a snapshot of this replica's state, then removes the segments that it replaces. */
  save (snapshot: LogSnapshot): Promise<void> {
    return this.#saveAndTruncate(snapshot, () => this.#queue.run(() => this.#storage.truncateThrough(snapshot.offset)))
  }

  /** Saves a snapshot from the leader, then removes all entries. */
  install (snapshot: LogSnapshot): Promise<void> {
    return this.#saveAndTruncate(snapshot, () => this.#queue.run(() => this.#storage.clear()))
  }

  #saveAndTruncate (snapshot: LogSnapshot, truncate: () => Promise<void>): Promise<void> {
    this.#lastStartedOffset = snapshot.offset
    this.#lastSave = this.#lastSave.then(async () => {
      await this.#storage.saveSnapshot(snapshot)
      this.#newest = snapshot
      await truncate()
    })
    return this.#lastSave
  }
}
