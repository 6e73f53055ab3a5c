import type { LogSnapshot } from '../../../contract/LogSnapshot'
import type { LogStorage } from '../../LogStorage'
import type { DiskQueue } from '../DiskQueue'

/** Saves snapshots one after another, and holds the newest that is saved. */
export class Snapshots {
  readonly #storage: LogStorage
  readonly #queue: DiskQueue
  #newest: LogSnapshot | undefined
  #saving: Promise<void> = Promise.resolve()
  #startedOffset: number

  constructor (storage: LogStorage, queue: DiskQueue) {
    this.#storage = storage
    this.#queue = queue
    this.#newest = storage.snapshot
    this.#startedOffset = storage.snapshot?.offset ?? 0
  }

  get newest (): LogSnapshot | undefined {
    return this.#newest
  }

  /** Offset of the newest snapshot that is saved or being saved. */
  get startedOffset (): number {
    return this.#startedOffset
  }

  /** Saves a snapshot of this replica's state and then removes the segments that it replaces. */
  save (snapshot: LogSnapshot): Promise<void> {
    return this.#run(snapshot, () => this.#queue.run(() => this.#storage.truncateThrough(snapshot.offset)))
  }

  /** Saves a snapshot from the leader in the place of all entries. */
  install (snapshot: LogSnapshot): Promise<void> {
    return this.#run(snapshot, () => this.#queue.run(() => this.#storage.clear()))
  }

  #run (snapshot: LogSnapshot, truncate: () => Promise<void>): Promise<void> {
    this.#startedOffset = snapshot.offset
    this.#saving = this.#saving.then(async () => {
      await this.#storage.saveSnapshot(snapshot)
      this.#newest = snapshot
      await truncate()
    })
    return this.#saving
  }
}
