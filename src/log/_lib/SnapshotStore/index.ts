import type { LogSnapshot } from '../../../contract/LogSnapshot'
import type { LogStorage } from '../../LogStorage'
import type { DiskQueue } from '../DiskQueue'

interface SnapshotLimits {
  /** Number of applied entries after which a snapshot is due. */
  entries: number
  /** Size in bytes of the applied commands after which a snapshot is due. */
  bytes: number
}

/** Decides when a snapshot is due, saves snapshots one at a time and holds the newest one that is saved. */
export class SnapshotStore {
  readonly #storage: LogStorage
  readonly #queue: DiskQueue
  #newest: LogSnapshot | undefined
  #lastSave: Promise<void> = Promise.resolve()
  readonly #limits: SnapshotLimits
  #lastStartedOffset: number
  /** Size of the commands that were applied after the newest snapshot. */
  #appliedBytes = 0

  constructor (storage: LogStorage, queue: DiskQueue, limits: SnapshotLimits) {
    this.#limits = limits
    this.#storage = storage
    this.#queue = queue
    this.#newest = storage.snapshot
    this.#lastStartedOffset = storage.snapshot?.offset ?? 0
  }

  get newest (): LogSnapshot | undefined {
    return this.#newest
  }

  /** Records the size of commands that were applied. */
  recordApplied (bytes: number): void {
    this.#appliedBytes += bytes
  }

  /** Whether a snapshot of the state at an offset is due. */
  isDue (offset: number): boolean {
    const { entries, bytes } = this.#limits
    return offset - this.#lastStartedOffset >= entries || this.#appliedBytes >= bytes
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
    this.#appliedBytes = 0
    this.#lastSave = this.#lastSave.then(async () => {
      await this.#storage.saveSnapshot(snapshot)
      this.#newest = snapshot
      await truncate()
    })
    return this.#lastSave
  }
}
